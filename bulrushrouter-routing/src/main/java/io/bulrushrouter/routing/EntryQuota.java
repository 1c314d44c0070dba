package io.bulrushrouter.routing;

import io.bulrushrouter.kernel.ModelId;
import io.bulrushrouter.kernel.OrganisationId;

/**
 * The tokens of one limit that were granted to this entry, and the state of its requests
 * for more. While no allocator answers, requests are admitted from a local token bucket
 * with the entry's part of the limit.
 */
final class EntryQuota {

	/** How far ahead tokens are requested, in seconds of the entry's own demand. */
	private static final double PREFETCH_SECONDS = 1;

	/** Time constant of the estimate of the entry's demand, in seconds. */
	private static final double DEMAND_TIME_CONSTANT_SECONDS = 2;

	/** Time after which an unanswered request is given up, in nanoseconds. */
	private static final long REQUEST_TIMEOUT_NANOS = 200_000_000L;

	/**
	 * Shortest interval between requests for which no caller waits: to prefetch or return
	 * tokens, or to retry an allocator that does not answer. In nanoseconds.
	 */
	private static final long REQUEST_INTERVAL_NANOS = 200_000_000L;

	private static final double NANOS_PER_SECOND = 1e9;

	private int allocator;

	private long tokens;

	private long expiresNanos;

	private long neededTokens;

	private long minTokens;

	private long returnedTokens;

	private long pendingSequence;

	private long requestedNanos;

	private int unansweredRequests;

	private int consecutiveRefusals;

	private long refusedUntilNanos;

	private double lastDemandRate;

	private long lastDemandNanos;

	private long lastRequestTokens;

	private double fallbackTokens;

	private long fallbackRefilledNanos;

	EntryQuota(int allocator, long nowNanos) {
		this.allocator = allocator;
		this.refusedUntilNanos = nowNanos;
		this.expiresNanos = nowNanos;
		this.lastDemandNanos = nowNanos;
		this.requestedNanos = nowNanos - REQUEST_INTERVAL_NANOS;
	}

	Admission admit(long requestTokens, double fallbackTokensPerSecond, long nowNanos) {
		recordDemand(requestTokens, nowNanos);
		expire(nowNanos);
		if (this.tokens >= requestTokens) {
			this.tokens -= requestTokens;
			return new Admission.Admitted();
		}
		if (nowNanos < this.refusedUntilNanos) {
			return new Admission.Refused(this.refusedUntilNanos - nowNanos);
		}
		if (this.unansweredRequests >= QuotaAllocator.ALLOCATORS_PER_LIMIT) {
			return admitFromFallback(requestTokens, fallbackTokensPerSecond, nowNanos);
		}
		this.minTokens = (this.neededTokens == 0) ? requestTokens : Math.min(this.minTokens, requestTokens);
		this.neededTokens += requestTokens;
		return new Admission.Pending(REQUEST_TIMEOUT_NANOS);
	}

	private Admission admitFromFallback(long requestTokens, double tokensPerSecond, long nowNanos) {
		double earned = (nowNanos - this.fallbackRefilledNanos) / NANOS_PER_SECOND * tokensPerSecond;
		this.fallbackTokens = Math.min(this.fallbackTokens + earned,
				Math.max(requestTokens, tokensPerSecond * PREFETCH_SECONDS));
		this.fallbackRefilledNanos = nowNanos;
		if (this.fallbackTokens < requestTokens) {
			return new Admission.Refused(
					(long) ((requestTokens - this.fallbackTokens) / tokensPerSecond * NANOS_PER_SECOND));
		}
		this.fallbackTokens -= requestTokens;
		return new Admission.Admitted();
	}

	void returnUnused(long unusedTokens) {
		this.returnedTokens += Math.max(0, unusedTokens);
	}

	boolean shouldRequest(long nowNanos) {
		expire(nowNanos);
		if (this.pendingSequence != 0 || nowNanos < this.refusedUntilNanos) {
			return false;
		}
		if (this.neededTokens > 0 && this.unansweredRequests < QuotaAllocator.ALLOCATORS_PER_LIMIT) {
			return true;
		}
		boolean intervalElapsed = nowNanos - this.requestedNanos >= REQUEST_INTERVAL_NANOS;
		boolean hasReason = this.tokens < prefetchTokens(nowNanos) / 2 || this.returnedTokens > 0
				|| this.unansweredRequests > 0;
		return intervalElapsed && hasReason;
	}

	QuotaRequest nextRequest(OrganisationId organisation, ModelId model, long sequence, long nowNanos) {
		QuotaRequest request = new QuotaRequest(organisation, model, this.allocator, sequence, this.neededTokens,
				this.minTokens, prefetchTokens(nowNanos), this.returnedTokens);
		this.pendingSequence = sequence;
		this.requestedNanos = nowNanos;
		this.neededTokens = 0;
		this.minTokens = 0;
		this.returnedTokens = 0;
		return request;
	}

	boolean isAwaiting(long sequence) {
		return this.pendingSequence == sequence;
	}

	void granted(QuotaGrant grant, long nowNanos) {
		// Pending requests are admitted again after a grant and then add up anew.
		this.neededTokens = 0;
		this.pendingSequence = 0;
		this.unansweredRequests = 0;
		this.tokens += grant.tokens();
		this.expiresNanos = this.requestedNanos + grant.ttlNanos();
		if (grant.retryAfterNanos() == 0) {
			this.consecutiveRefusals = 0;
			return;
		}
		this.consecutiveRefusals++;
		switchAllocator();
		if (this.consecutiveRefusals >= QuotaAllocator.ALLOCATORS_PER_LIMIT) {
			this.consecutiveRefusals = 0;
			this.refusedUntilNanos = nowNanos + grant.retryAfterNanos();
		}
	}

	boolean isIdle(long nowNanos, long idleTimeoutNanos) {
		return this.pendingSequence == 0 && this.tokens == 0 && nowNanos - this.lastDemandNanos > idleTimeoutNanos;
	}

	private void switchAllocator() {
		this.allocator = (this.allocator + 1) % QuotaAllocator.ALLOCATORS_PER_LIMIT;
	}

	private void recordDemand(long requestTokens, long nowNanos) {
		this.lastDemandRate = demandRate(nowNanos) + requestTokens / DEMAND_TIME_CONSTANT_SECONDS;
		this.lastDemandNanos = nowNanos;
		this.lastRequestTokens = requestTokens;
	}

	private double demandRate(long nowNanos) {
		return this.lastDemandRate
				* Math.exp(-(nowNanos - this.lastDemandNanos) / (DEMAND_TIME_CONSTANT_SECONDS * NANOS_PER_SECOND));
	}

	private long prefetchTokens(long nowNanos) {
		// At less than one request in that time, prefetched tokens would mostly expire
		// unused.
		double expectedTokens = demandRate(nowNanos) * PREFETCH_SECONDS;
		return (expectedTokens > this.lastRequestTokens) ? (long) expectedTokens : 0;
	}

	private void expire(long nowNanos) {
		if (nowNanos >= this.expiresNanos) {
			this.returnedTokens += this.tokens;
			this.tokens = 0;
		}
		if (this.pendingSequence != 0 && nowNanos - this.requestedNanos > REQUEST_TIMEOUT_NANOS) {
			this.pendingSequence = 0;
			this.unansweredRequests++;
			if (this.unansweredRequests == QuotaAllocator.ALLOCATORS_PER_LIMIT) {
				this.fallbackRefilledNanos = nowNanos;
				this.fallbackTokens = 0;
			}
			switchAllocator();
		}
	}

}
