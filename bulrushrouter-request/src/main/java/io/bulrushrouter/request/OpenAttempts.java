package io.bulrushrouter.request;

import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;

import io.bulrushrouter.kernel.ErrorCode;
import io.bulrushrouter.kernel.UpstreamId;
import io.bulrushrouter.kernel.Verdict;

/**
 * The open attempts of one request, the upstreams tried so far, and whether an ended
 * attempt may have run.
 */
final class OpenAttempts {

	private final Map<Integer, OpenAttempt> attempts = new LinkedHashMap<>();

	private final Set<UpstreamId> triedUpstreams = new HashSet<>();

	private Optional<ErrorCode> mayHaveRunCode = Optional.empty();

	void add(OpenAttempt attempt) {
		this.triedUpstreams.add(attempt.upstream());
		this.attempts.put(attempt.id().attempt(), attempt);
	}

	Optional<OpenAttempt> find(int attempt) {
		return Optional.ofNullable(this.attempts.get(attempt));
	}

	List<OpenAttempt> all() {
		return List.copyOf(this.attempts.values());
	}

	int size() {
		return this.attempts.size();
	}

	boolean contains(OpenAttempt attempt) {
		return this.attempts.get(attempt.id().attempt()) == attempt;
	}

	Set<UpstreamId> triedUpstreams() {
		return Set.copyOf(this.triedUpstreams);
	}

	void end(OpenAttempt attempt, Verdict outcome) {
		this.attempts.remove(attempt.id().attempt());
		if (outcome.mayHaveRun()) {
			this.mayHaveRunCode = outcome.failure();
		}
	}

	void clear() {
		this.attempts.clear();
	}

	// The request counts as not run only if none of its attempts may have run.
	Verdict verdictOf(ErrorCode code) {
		if (this.mayHaveRunCode.isEmpty()) {
			return Verdict.ofNotRun(code);
		}
		return Verdict.ofMayHaveRun((code == ErrorCode.DEADLINE_EXCEEDED) ? code : this.mayHaveRunCode.get());
	}

}
