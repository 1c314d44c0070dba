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
 * The runs of a sidecar by all that they are looked up by, and the attempts that ended.
 */
final class RunTable {

	private final Map<AttemptId, EngineRun> runs = new LinkedHashMap<>();

	private final Map<AttemptId, EngineRun> byWaiter = new HashMap<>();

	private final Map<AnswerCache.ReadKey, EngineRun> reads = new HashMap<>();

	private final Map<ClaimKey, EngineRun> claims = new HashMap<>();

	private final Map<AttemptId, Ended> ended;

	RunTable(int remembered) {
		this.ended = new LinkedHashMap<>() {
			@Override
			protected boolean removeEldestEntry(Map.Entry<AttemptId, Ended> eldest) {
				return size() > remembered;
			}
		};
	}

	void add(EngineRun run) {
		this.runs.put(run.id(), run);
		if (isRead(run.spec()) && run.joinable()) {
			this.reads.putIfAbsent(AnswerCache.ReadKey.of(run.spec()), run);
		}
		if (!run.spec().idempotent()) {
			this.claims.put(ClaimKey.of(run.id(), run.spec()), run);
		}
	}

	void join(EngineRun run, EngineRun.Waiter waiter) {
		run.waiters().add(waiter);
		this.byWaiter.put(waiter.attempt(), run);
	}

	void leave(EngineRun run, EngineRun.Waiter waiter) {
		run.waiters().remove(waiter);
		this.byWaiter.remove(waiter.attempt());
		this.ended.put(waiter.attempt(), Ended.SETTLED);
	}

	void remove(EngineRun run) {
		this.runs.remove(run.id());
		hide(run);
		this.claims.remove(ClaimKey.of(run.id(), run.spec()), run);
		List.copyOf(run.waiters()).forEach((waiter) -> leave(run, waiter));
	}

	// Keeps equal requests from joining the run.
	void hide(EngineRun run) {
		if (isRead(run.spec())) {
			this.reads.remove(AnswerCache.ReadKey.of(run.spec()), run);
		}
	}

	Optional<EngineRun> find(AttemptId run) {
		return Optional.ofNullable(this.runs.get(run));
	}

	Optional<EngineRun> ofWaiter(AttemptId attempt) {
		return Optional.ofNullable(this.byWaiter.get(attempt));
	}

	Optional<EngineRun> equalRead(RequestSpec spec) {
		return isRead(spec)
				? Optional.ofNullable(this.reads.get(AnswerCache.ReadKey.of(spec))).filter(EngineRun::joinable)
				: Optional.empty();
	}

	Optional<EngineRun> ofKey(ClaimKey key) {
		return Optional.ofNullable(this.claims.get(key));
	}

	Optional<Ended> ended(AttemptId attempt) {
		return Optional.ofNullable(this.ended.get(attempt));
	}

	void end(AttemptId attempt, Ended how) {
		this.ended.put(attempt, how);
	}

	Collection<EngineRun> all() {
		return List.copyOf(this.runs.values());
	}

	int size() {
		return this.runs.size();
	}

	/**
	 * Tells whether the answer may be given to equal requests.
	 * @param spec the request
	 * @return whether it is a repeatable read
	 */
	static boolean isRead(RequestSpec spec) {
		return spec.idempotent() && spec.kind() == CallKind.COMPLETION;
	}

	/**
	 * How an attempt ended.
	 */
	enum Ended {

		/** It was answered. */
		SETTLED,

		/** Its cancel came before it. */
		CANCELLED_EARLY

	}

	/**
	 * An idempotency key of one organisation.
	 *
	 * @param organisation the organisation
	 * @param key the caller's key, or one made of the request's identifier
	 */
	record ClaimKey(OrganisationId organisation, String key) {

		static ClaimKey of(AttemptId attempt, RequestSpec spec) {
			return new ClaimKey(spec.organisation(),
					spec.idempotencyKey().map((key) -> "k:" + key).orElseGet(() -> "r:" + attempt.request()));
		}

	}

}
