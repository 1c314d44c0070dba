package io.bulrushrouter.coordination;

import java.util.EnumMap;
import java.util.Map;
import java.util.random.RandomGenerator;

/**
 * Decides whether a call may go out now: a token bucket for each kind of call, and a
 * back-off after failures. While calls fail, one at a time is let through; the first that
 * is answered opens the gate with an empty bucket, so that nothing that was saved up
 * during an outage goes out at once. A watch may wait long for its answer, so it does not
 * keep other calls from trying.
 */
final class CallGate {

	private static final double NANOS_PER_SECOND = 1e9;

	private final CallBudget budget;

	private final BackOff backOff;

	private final Map<CallKind, Bucket> buckets = new EnumMap<>(CallKind.class);

	private int failures;

	private long failedAt;

	private long closedUntil;

	private boolean probing;

	CallGate(CallBudget budget, BackOff backOff, long nowNanos) {
		this.budget = budget;
		this.backOff = backOff;
		for (CallKind kind : CallKind.values()) {
			this.buckets.put(kind, new Bucket(budget.burst(), nowNanos));
		}
	}

	Admission admit(CallKind kind, long nowNanos) {
		if (this.failures > 0 && (this.probing || nowNanos - this.closedUntil < 0)) {
			return Admission.BACKED_OFF;
		}
		Bucket bucket = refilled(kind, nowNanos);
		if (bucket.tokens() < 1) {
			this.buckets.put(kind, bucket);
			return Admission.OVER_BUDGET;
		}
		this.buckets.put(kind, new Bucket(bucket.tokens() - 1, nowNanos));
		this.probing = this.failures > 0 && kind != CallKind.WATCH;
		return Admission.GRANTED;
	}

	void succeeded(long sentNanos, long nowNanos) {
		if (this.failures == 0 || sentNanos - this.failedAt < 0) {
			return;
		}
		this.failures = 0;
		this.probing = false;
		for (CallKind kind : CallKind.values()) {
			this.buckets.put(kind, new Bucket(0, nowNanos));
		}
	}

	void failed(long sentNanos, long nowNanos, RandomGenerator random) {
		if (this.failures > 0 && sentNanos - this.failedAt < 0) {
			return;
		}
		this.probing = false;
		this.failedAt = nowNanos;
		this.closedUntil = nowNanos + this.backOff.pauseNanos(this.failures, random);
		this.failures++;
	}

	private Bucket refilled(CallKind kind, long nowNanos) {
		Bucket bucket = this.buckets.get(kind);
		double gained = (nowNanos - bucket.atNanos()) / NANOS_PER_SECOND * this.budget.perSecond(kind);
		return new Bucket(Math.min(this.budget.burst(), bucket.tokens() + gained), nowNanos);
	}

	/**
	 * The outcomes of asking to send a call.
	 */
	enum Admission {

		/** The call may go out. */
		GRANTED,

		/** The budget is spent for now. */
		OVER_BUDGET,

		/** An earlier call failed, and its pause has not passed. */
		BACKED_OFF

	}

	private record Bucket(double tokens, long atNanos) {
	}

}
