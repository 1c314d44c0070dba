package io.bulrushrouter.routing;

import io.bulrushrouter.kernel.ModelId;
import io.bulrushrouter.kernel.OrganisationId;

/**
 * The tokens of one limit that were lent to this entry, and what it asked for.
 */
final class EntryQuota {

	/** How far ahead tokens are asked for, in seconds of the entry's own demand. */
	private static final double PREFETCH_SECONDS = 1;

	/** Time constant of the entry's demand, in seconds. */
	private static final double DEMAND_TIME_CONSTANT_SECONDS = 2;

	/** An ask without an answer for this long is given up, in nanoseconds. */
	private static final long REQUEST_TIMEOUT_NANOS = 200_000_000L;

	/** Pause between asks that only return tokens or try a silent holder. */
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

	EntryQuota(int holder, long nowNanos) {
		this.allocator = holder;
		this.refusedUntilNanos = nowNanos;
		this.expiresNanos = nowNanos;
		this.lastDemandNanos = nowNanos;
		this.requestedNanos = nowNanos - REQUEST_INTERVAL_NANOS;
	}

	Admission admit(long wanted, double aloneTokensPerSecond, long nowNanos) {
		recordDemand(wanted, nowNanos);
		expire(nowNanos);
		if (this.tokens >= wanted) {
			this.tokens -= wanted;
			return new Admission.Admitted();
		}
		if (nowNanos < this.refusedUntilNanos) {
			return new Admission.Refused(this.refusedUntilNanos - nowNanos);
		}
		if (this.unansweredRequests >= QuotaAllocator.ALLOCATORS_PER_LIMIT) {
			return admitFromFallback(wanted, aloneTokensPerSecond, nowNanos);
		}
		this.minTokens = (this.neededTokens == 0) ? wanted : Math.min(this.minTokens, wanted);
		this.neededTokens += wanted;
		return new Admission.Pending(REQUEST_TIMEOUT_NANOS);
	}

	private Admission admitFromFallback(long wanted, double tokensPerSecond, long nowNanos) {
		double earned = (nowNanos - this.fallbackRefilledNanos) / NANOS_PER_SECOND * tokensPerSecond;
		this.fallbackTokens = Math.min(this.fallbackTokens + earned,
				Math.max(wanted, tokensPerSecond * PREFETCH_SECONDS));
		this.fallbackRefilledNanos = nowNanos;
		if (this.fallbackTokens < wanted) {
			return new Admission.Refused((long) ((wanted - this.fallbackTokens) / tokensPerSecond * NANOS_PER_SECOND));
		}
		this.fallbackTokens -= wanted;
		return new Admission.Admitted();
	}

	void returnUnused(long more) {
		this.returnedTokens += Math.max(0, more);
	}

	boolean shouldRequest(long nowNanos) {
		expire(nowNanos);
		if (this.pendingSequence != 0 || nowNanos < this.refusedUntilNanos) {
			return false;
		}
		if (this.neededTokens > 0 && this.unansweredRequests < QuotaAllocator.ALLOCATORS_PER_LIMIT) {
			return true;
		}
		boolean paused = nowNanos - this.requestedNanos >= REQUEST_INTERVAL_NANOS;
		boolean wants = this.tokens < prefetchTokens(nowNanos) / 2 || this.returnedTokens > 0
				|| this.unansweredRequests > 0;
		return paused && wants;
	}

	QuotaRequest nextRequest(OrganisationId organisation, ModelId model, long sequence, long nowNanos) {
		QuotaRequest ask = new QuotaRequest(organisation, model, this.allocator, sequence, this.neededTokens,
				this.minTokens, prefetchTokens(nowNanos), this.returnedTokens);
		this.pendingSequence = sequence;
		this.requestedNanos = nowNanos;
		this.neededTokens = 0;
		this.minTokens = 0;
		this.returnedTokens = 0;
		return ask;
	}

	boolean isAwaiting(long sequence) {
		return this.pendingSequence == sequence;
	}

	void granted(QuotaGrant grant, long nowNanos) {
		// Those that still wait are admitted anew, and count again then.
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

	boolean isIdle(long nowNanos, long forgetNanos) {
		return this.pendingSequence == 0 && this.tokens == 0 && nowNanos - this.lastDemandNanos > forgetNanos;
	}

	private void switchAllocator() {
		this.allocator = (this.allocator + 1) % QuotaAllocator.ALLOCATORS_PER_LIMIT;
	}

	private void recordDemand(long wanted, long nowNanos) {
		this.lastDemandRate = demandRate(nowNanos) + wanted / DEMAND_TIME_CONSTANT_SECONDS;
		this.lastDemandNanos = nowNanos;
		this.lastRequestTokens = wanted;
	}

	private double demandRate(long nowNanos) {
		return this.lastDemandRate
				* Math.exp(-(nowNanos - this.lastDemandNanos) / (DEMAND_TIME_CONSTANT_SECONDS * NANOS_PER_SECOND));
	}

	private long prefetchTokens(long nowNanos) {
		// Rare requests would leave most tokens unused.
		double ahead = demandRate(nowNanos) * PREFETCH_SECONDS;
		return (ahead > this.lastRequestTokens) ? (long) ahead : 0;
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
