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
 * The open attempts of one request, and what is known of the ended ones: where they went
 * and whether one of them may have run.
 */
final class OpenAttempts {

	private final Map<Integer, OpenAttempt> open = new LinkedHashMap<>();

	private final Set<UpstreamId> tried = new HashSet<>();

	private Optional<ErrorCode> uncertain = Optional.empty();

	void add(OpenAttempt attempt) {
		this.tried.add(attempt.upstream());
		this.open.put(attempt.id().attempt(), attempt);
	}

	Optional<OpenAttempt> find(int attempt) {
		return Optional.ofNullable(this.open.get(attempt));
	}

	List<OpenAttempt> all() {
		return List.copyOf(this.open.values());
	}

	int size() {
		return this.open.size();
	}

	boolean contains(OpenAttempt attempt) {
		return this.open.get(attempt.id().attempt()) == attempt;
	}

	Set<UpstreamId> tried() {
		return Set.copyOf(this.tried);
	}

	void end(OpenAttempt attempt, Verdict outcome) {
		this.open.remove(attempt.id().attempt());
		if (outcome.mayHaveRun()) {
			this.uncertain = outcome.failure();
		}
	}

	void clear() {
		this.open.clear();
	}

	// The request did not run only if none of its attempts may have.
	Verdict verdictOf(ErrorCode code) {
		if (this.uncertain.isEmpty()) {
			return Verdict.ofNotRun(code);
		}
		return Verdict.ofMayHaveRun((code == ErrorCode.DEADLINE_EXCEEDED) ? code : this.uncertain.get());
	}

}
