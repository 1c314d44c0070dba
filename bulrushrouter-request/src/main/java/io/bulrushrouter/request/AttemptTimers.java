package io.bulrushrouter.request;

/**
 * When something is due at a request's open attempts.
 */
final class AttemptTimers {

	private final RequestSpec spec;

	private final long deadlineNanos;

	private final EntryPolicy policy;

	AttemptTimers(RequestSpec spec, long deadlineNanos, EntryPolicy policy) {
		this.spec = spec;
		this.deadlineNanos = deadlineNanos;
		this.policy = policy;
	}

	boolean isExpired(long nowNanos) {
		return nowNanos >= this.deadlineNanos;
	}

	long remainingNanos(long nowNanos) {
		return this.deadlineNanos - nowNanos;
	}

	boolean allowsAnother(int attempts, long nowNanos) {
		return attempts < this.policy.maxAttempts() && remainingNanos(nowNanos) >= this.policy.minRemaining().toNanos();
	}

	// The answer of an idempotent attempt paused for too long.
	boolean isStalled(OpenAttempt attempt, long nowNanos) {
		return nowNanos >= stallNanos(attempt);
	}

	// The deadline is near, and nothing was heard of the attempt.
	boolean isToSettle(OpenAttempt attempt, long nowNanos) {
		return nowNanos >= settleNanos(attempt);
	}

	boolean isToHedge(OpenAttempt attempt, long nowNanos) {
		return nowNanos >= hedgeNanos(attempt);
	}

	long nextWakeNanos(OpenAttempts open, boolean mayHedge) {
		long next = this.deadlineNanos;
		for (OpenAttempt attempt : open.all()) {
			next = Math.min(next, Math.min(stallNanos(attempt), settleNanos(attempt)));
			if (mayHedge) {
				next = Math.min(next, hedgeNanos(attempt));
			}
		}
		return next;
	}

	private long stallNanos(OpenAttempt attempt) {
		return (this.spec.idempotent() && attempt.answering())
				? attempt.heardNanos() + this.policy.stallAfter().toNanos() : Long.MAX_VALUE;
	}

	private long settleNanos(OpenAttempt attempt) {
		return (attempt.answering() || attempt.cancelled()) ? Long.MAX_VALUE
				: this.deadlineNanos - this.policy.settleBefore().toNanos();
	}

	private long hedgeNanos(OpenAttempt attempt) {
		return (this.spec.idempotent() && this.policy.hedgeAfter().isPresent())
				? attempt.sentNanos() + this.policy.hedgeAfter().get().toNanos() : Long.MAX_VALUE;
	}

}
