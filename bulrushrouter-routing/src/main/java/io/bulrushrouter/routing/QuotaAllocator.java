package io.bulrushrouter.routing;

import java.util.HashMap;
import java.util.Map;
import java.util.Optional;

import io.bulrushrouter.kernel.ModelId;
import io.bulrushrouter.kernel.OrganisationId;

/**
 * A holder's part of the limits of organisations: a token bucket for each limit, lent out
 * by demand. Each limit has two holders with half of it each, so that one can die. What
 * is lent is spent as far as the holder knows, so tokens lent to an entry that died are
 * lost once and can't be spent twice. A new holder starts with empty buckets, so that
 * what its predecessor lent can't add up with its own. One thread owns it.
 */
public final class QuotaAllocator {

	/** Holders of each limit. */
	public static final int ALLOCATORS_PER_LIMIT = 2;

	/** How long lent tokens may be used, in nanoseconds. */
	public static final long GRANT_TTL_NANOS = 1_000_000_000L;

	/** The part of the free tokens that one ask may take beyond its need. */
	private static final double MAX_PREFETCH_FRACTION = 0.1;

	/** Longest time after which an entry is told to ask again, in seconds. */
	private static final double MAX_RETRY_AFTER_SECONDS = 3;

	private static final double NANOS_PER_SECOND = 1e9;

	private final LimitTable limits;

	private final long fence;

	private final long startNanos;

	private final Map<Key, Bucket> buckets = new HashMap<>();

	private QuotaAllocator(LimitTable limits, long fence, long startNanos) {
		this.limits = limits;
		this.fence = fence;
		this.startNanos = startNanos;
	}

	/**
	 * Returns a holder.
	 * @param limits the configured limits
	 * @param fence the fencing number of the holder's lease
	 * @param nowNanos the time, in nanoseconds
	 * @return the holder
	 */
	public static QuotaAllocator of(LimitTable limits, long fence, long nowNanos) {
		return new QuotaAllocator(limits, fence, nowNanos);
	}

	/**
	 * Lends tokens.
	 * @param ask what an entry asks for
	 * @param nowNanos the time, in nanoseconds
	 * @return the answer
	 */
	public QuotaGrant allocate(QuotaRequest ask, long nowNanos) {
		Optional<Limit> limit = this.limits.limit(ask.organisation(), ask.model()).map(QuotaAllocator::allocatorPart);
		if (limit.isEmpty()) {
			return grant(ask, ask.neededTokens() + ask.prefetchTokens(), 0);
		}
		Bucket bucket = this.buckets.computeIfAbsent(new Key(ask.organisation(), ask.model()),
				(key) -> new Bucket(this.startNanos));
		bucket.refill(limit.get(), ask.minTokens(), nowNanos);
		bucket.giveBack(ask.returnedTokens());
		long tokens = bucket.take(ask);
		if (tokens > 0 || ask.neededTokens() == 0) {
			return grant(ask, tokens, 0);
		}
		return grant(ask, 0, bucket.retryAfterNanos(limit.get(), ask.minTokens()));
	}

	private static Limit allocatorPart(Limit whole) {
		return new Limit(whole.tokensPerSecond() / ALLOCATORS_PER_LIMIT);
	}

	private QuotaGrant grant(QuotaRequest ask, long tokens, long retryAfterNanos) {
		return new QuotaGrant(ask.organisation(), ask.model(), ask.allocator(), ask.sequence(), this.fence, tokens,
				GRANT_TTL_NANOS, retryAfterNanos);
	}

	/**
	 * What a limit belongs to.
	 *
	 * @param organisation the organisation
	 * @param model the model
	 */
	private record Key(OrganisationId organisation, ModelId model) {
	}

	/**
	 * The free tokens of one limit.
	 */
	private static final class Bucket {

		private double tokens;

		private double capacityTokens;

		private double unmetTokens;

		private long refilledNanos;

		Bucket(long startNanos) {
			this.refilledNanos = startNanos;
		}

		void refill(Limit limit, long least, long nowNanos) {
			// A request larger than the burst must not wait for ever.
			this.capacityTokens = Math.max(limit.burstTokens(), Math.max(least, this.capacityTokens));
			double earned = (nowNanos - this.refilledNanos) / NANOS_PER_SECOND * limit.tokensPerSecond();
			this.tokens = Math.min(this.tokens + earned, this.capacityTokens);
			this.unmetTokens = Math.max(0, this.unmetTokens - earned);
			this.refilledNanos = nowNanos;
		}

		void giveBack(long returned) {
			this.tokens = Math.min(this.tokens + returned, this.capacityTokens);
		}

		/**
		 * Returns when an entry should ask again: one after the other, so that those that
		 * were refused do not all come back at once.
		 * @param limit the limit
		 * @param needed tokens that were refused
		 * @return nanoseconds
		 */
		long retryAfterNanos(Limit limit, long needed) {
			double longest = limit.tokensPerSecond() * MAX_RETRY_AFTER_SECONDS;
			this.unmetTokens = Math.min(longest, this.unmetTokens + needed);
			return (long) (this.unmetTokens / limit.tokensPerSecond() * NANOS_PER_SECOND);
		}

		long take(QuotaRequest ask) {
			if (this.tokens < ask.minTokens()) {
				return 0;
			}
			long needed = (long) Math.min(this.tokens, ask.neededTokens());
			long free = (long) ((this.tokens - needed) * MAX_PREFETCH_FRACTION);
			long granted = needed + Math.min(ask.prefetchTokens(), free);
			this.tokens -= granted;
			this.capacityTokens = 0;
			return granted;
		}

	}

}
