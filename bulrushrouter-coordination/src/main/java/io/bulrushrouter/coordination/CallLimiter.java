package io.bulrushrouter.coordination;

import java.util.EnumMap;
import java.util.Map;
import java.util.random.RandomGenerator;

/**
 * Decides whether a call may be sent now, with a token bucket for each kind of call and a
 * backoff after failures. While calls fail, one probe at a time is admitted. The first
 * success ends the backoff with empty buckets, so that the tokens accumulated during an
 * outage do not cause a burst of calls. A watch may take long to complete, so a pending
 * watch does not block other probes.
 */
final class CallLimiter {

	private static final double NANOS_PER_SECOND = 1e9;

	private final CallBudget budget;

	private final ExponentialBackoff backoff;

	private final Map<CallKind, TokenBucket> buckets = new EnumMap<>(CallKind.class);

	private int consecutiveFailures;

	private long failedAtNanos;

	private long closedUntilNanos;

	private boolean probing;

	CallLimiter(CallBudget budget, ExponentialBackoff backoff, long nowNanos) {
		this.budget = budget;
		this.backoff = backoff;
		for (CallKind kind : CallKind.values()) {
			this.buckets.put(kind, new TokenBucket(budget.maxBurst(), nowNanos));
		}
	}

	Admission admit(CallKind kind, long nowNanos) {
		if (this.consecutiveFailures > 0 && (this.probing || nowNanos - this.closedUntilNanos < 0)) {
			return Admission.BACKED_OFF;
		}
		TokenBucket bucket = refilled(kind, nowNanos);
		if (bucket.tokens() < 1) {
			this.buckets.put(kind, bucket);
			return Admission.OVER_BUDGET;
		}
		this.buckets.put(kind, new TokenBucket(bucket.tokens() - 1, nowNanos));
		this.probing = this.consecutiveFailures > 0 && kind != CallKind.WATCH;
		return Admission.GRANTED;
	}

	void callSucceeded(long sentNanos, long nowNanos) {
		if (this.consecutiveFailures == 0 || sentNanos - this.failedAtNanos < 0) {
			return;
		}
		this.consecutiveFailures = 0;
		this.probing = false;
		for (CallKind kind : CallKind.values()) {
			this.buckets.put(kind, new TokenBucket(0, nowNanos));
		}
	}

	void callFailed(long sentNanos, long nowNanos, RandomGenerator random) {
		if (this.consecutiveFailures > 0 && sentNanos - this.failedAtNanos < 0) {
			return;
		}
		this.probing = false;
		this.failedAtNanos = nowNanos;
		this.closedUntilNanos = nowNanos + this.backoff.delayNanos(this.consecutiveFailures, random);
		this.consecutiveFailures++;
	}

	private TokenBucket refilled(CallKind kind, long nowNanos) {
		TokenBucket bucket = this.buckets.get(kind);
		double added = (nowNanos - bucket.atNanos()) / NANOS_PER_SECOND * this.budget.perSecond(kind);
		return new TokenBucket(Math.min(this.budget.maxBurst(), bucket.tokens() + added), nowNanos);
	}

	/**
	 * The outcomes of an admission check.
	 */
	enum Admission {

		/** The call may be sent. */
		GRANTED,

		/** The budget is exhausted for now. */
		OVER_BUDGET,

		/**
		 * An earlier call failed, and its backoff has not elapsed or a probe is pending.
		 */
		BACKED_OFF

	}

	private record TokenBucket(double tokens, long atNanos) {
	}

}
