package io.bulrushrouter.request;

/**
 * Computes when the open attempts of a request stall, are cancelled or are hedged.
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

	boolean allowsAnotherAttempt(int attempts, long nowNanos) {
		return attempts < this.policy.maxAttempts()
				&& remainingNanos(nowNanos) >= this.policy.minRemainingTime().toNanos();
	}

	// Whether the response of an idempotent attempt has paused for too long.
	boolean isStalled(OpenAttempt attempt, long nowNanos) {
		return nowNanos >= stallDueNanos(attempt);
	}

	// Whether the deadline is near and the attempt has no response.
	boolean isCancelDue(OpenAttempt attempt, long nowNanos) {
		return nowNanos >= cancelDueNanos(attempt);
	}

	boolean isHedgeDue(OpenAttempt attempt, long nowNanos) {
		return nowNanos >= hedgeDueNanos(attempt);
	}

	long nextWakeNanos(OpenAttempts open, boolean mayHedge) {
		long next = this.deadlineNanos;
		for (OpenAttempt attempt : open.all()) {
			next = Math.min(next, Math.min(stallDueNanos(attempt), cancelDueNanos(attempt)));
			if (mayHedge) {
				next = Math.min(next, hedgeDueNanos(attempt));
			}
		}
		return next;
	}

	private long stallDueNanos(OpenAttempt attempt) {
		return (this.spec.idempotent() && attempt.isResponding())
				? attempt.lastProgressNanos() + this.policy.stallTimeout().toNanos() : Long.MAX_VALUE;
	}

	private long cancelDueNanos(OpenAttempt attempt) {
		return (attempt.isResponding() || attempt.cancelled()) ? Long.MAX_VALUE
				: this.deadlineNanos - this.policy.cancelMargin().toNanos();
	}

	private long hedgeDueNanos(OpenAttempt attempt) {
		return (this.spec.idempotent() && this.policy.hedgeDelay().isPresent())
				? attempt.sentNanos() + this.policy.hedgeDelay().get().toNanos() : Long.MAX_VALUE;
	}

}
