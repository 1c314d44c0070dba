package io.bulrushrouter.request;

import java.util.Collection;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;

import io.bulrushrouter.kernel.AttemptId;
import io.bulrushrouter.kernel.OrganisationId;

/**
 * Indexes the runs of a sidecar by attempt, by waiter, by read and by idempotency key,
 * and remembers the attempts that ended.
 */
final class RunTable {

	private final Map<AttemptId, EngineRun> runs = new LinkedHashMap<>();

	private final Map<AttemptId, EngineRun> byWaiter = new HashMap<>();

	private final Map<ResponseCache.ReadKey, EngineRun> readRuns = new HashMap<>();

	private final Map<ClaimKey, EngineRun> claimedRuns = new HashMap<>();

	private final Map<AttemptId, EndState> endState;

	RunTable(int maxEnded) {
		this.endState = new LinkedHashMap<>() {
			@Override
			protected boolean removeEldestEntry(Map.Entry<AttemptId, EndState> eldest) {
				return size() > maxEnded;
			}
		};
	}

	void add(EngineRun run) {
		this.runs.put(run.id(), run);
		if (isCacheableRead(run.spec()) && run.joinable()) {
			this.readRuns.putIfAbsent(ResponseCache.ReadKey.of(run.spec()), run);
		}
		if (!run.spec().idempotent()) {
			this.claimedRuns.put(ClaimKey.of(run.id(), run.spec()), run);
		}
	}

	void join(EngineRun run, EngineRun.Waiter waiter) {
		run.waiters().add(waiter);
		this.byWaiter.put(waiter.attempt(), run);
	}

	void leave(EngineRun run, EngineRun.Waiter waiter) {
		run.waiters().remove(waiter);
		this.byWaiter.remove(waiter.attempt());
		this.endState.put(waiter.attempt(), EndState.SETTLED);
	}

	void remove(EngineRun run) {
		this.runs.remove(run.id());
		stopSharing(run);
		this.claimedRuns.remove(ClaimKey.of(run.id(), run.spec()), run);
		List.copyOf(run.waiters()).forEach((waiter) -> leave(run, waiter));
	}

	// Prevents equal requests from joining the run.
	void stopSharing(EngineRun run) {
		if (isCacheableRead(run.spec())) {
			this.readRuns.remove(ResponseCache.ReadKey.of(run.spec()), run);
		}
	}

	Optional<EngineRun> find(AttemptId run) {
		return Optional.ofNullable(this.runs.get(run));
	}

	Optional<EngineRun> findByWaiter(AttemptId attempt) {
		return Optional.ofNullable(this.byWaiter.get(attempt));
	}

	Optional<EngineRun> findEqualRead(RequestSpec spec) {
		return isCacheableRead(spec)
				? Optional.ofNullable(this.readRuns.get(ResponseCache.ReadKey.of(spec))).filter(EngineRun::joinable)
				: Optional.empty();
	}

	Optional<EngineRun> findByKey(ClaimKey key) {
		return Optional.ofNullable(this.claimedRuns.get(key));
	}

	Optional<EndState> endState(AttemptId attempt) {
		return Optional.ofNullable(this.endState.get(attempt));
	}

	void markEnded(AttemptId attempt, EndState endState) {
		this.endState.put(attempt, endState);
	}

	Collection<EngineRun> all() {
		return List.copyOf(this.runs.values());
	}

	int size() {
		return this.runs.size();
	}

	/**
	 * Returns whether the response may be shared with equal requests.
	 * @param spec the request
	 * @return whether the request is an idempotent completion
	 */
	static boolean isCacheableRead(RequestSpec spec) {
		return spec.idempotent() && spec.kind() == CallKind.COMPLETION;
	}

	/**
	 * The state of an ended attempt.
	 */
	enum EndState {

		/** Its final message was sent, or its waiter was removed. */
		SETTLED,

		/** Its cancellation arrived before the attempt itself. */
		CANCELLED_EARLY

	}

	/**
	 * An idempotency key of one organisation.
	 *
	 * @param organisation the organisation
	 * @param key the caller's key, or one derived from the request's identifier
	 */
	record ClaimKey(OrganisationId organisation, String key) {

		static ClaimKey of(AttemptId attempt, RequestSpec spec) {
			return new ClaimKey(spec.organisation(),
					spec.idempotencyKey().map((key) -> "k:" + key).orElseGet(() -> "r:" + attempt.request()));
		}

	}

}
