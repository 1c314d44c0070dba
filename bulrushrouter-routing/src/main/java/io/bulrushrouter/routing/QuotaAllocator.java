package io.bulrushrouter.routing;

import java.util.HashMap;
import java.util.Map;
import java.util.Optional;

import io.bulrushrouter.kernel.ModelId;
import io.bulrushrouter.kernel.OrganisationId;

/**
 * Grants the tokens of organisations' limits to entries on demand, from a token bucket
 * for each limit. Each limit is split evenly between two allocators, so that half of it
 * remains available when one fails. Granted tokens count as spent: those granted to an
 * entry that fails are lost and can't be spent twice. A new allocator starts with empty
 * buckets, so that its grants and its predecessor's together don't exceed the limit. Not
 * thread-safe.
 */
public final class QuotaAllocator {

	/** Allocators that each limit is split between. */
	public static final int ALLOCATORS_PER_LIMIT = 2;

	/** How long granted tokens may be used, in nanoseconds. */
	public static final long GRANT_TTL_NANOS = 1_000_000_000L;

	/**
	 * Largest part of the free tokens that one request may take beyond its need, 0 to 1.
	 */
	private static final double MAX_PREFETCH_FRACTION = 0.1;

	/** Upper bound of the time after which an entry is told to retry, in seconds. */
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
	 * Returns an allocator with empty buckets.
	 * @param limits the configured limits
	 * @param fence the fencing token of the allocator's lease
	 * @param nowNanos the time, in nanoseconds
	 * @return the allocator
	 */
	public static QuotaAllocator of(LimitTable limits, long fence, long nowNanos) {
		return new QuotaAllocator(limits, fence, nowNanos);
	}

	/**
	 * Grants tokens to an entry, or tells it when to retry.
	 * @param request the entry's request
	 * @param nowNanos the time, in nanoseconds
	 * @return the grant
	 */
	public QuotaGrant allocate(QuotaRequest request, long nowNanos) {
		Optional<Limit> limit = this.limits.limit(request.organisation(), request.model())
			.map(QuotaAllocator::allocatorPart);
		if (limit.isEmpty()) {
			return grant(request, request.neededTokens() + request.prefetchTokens(), 0);
		}
		Bucket bucket = this.buckets.computeIfAbsent(new Key(request.organisation(), request.model()),
				(key) -> new Bucket(this.startNanos));
		bucket.refill(limit.get(), request.minTokens(), nowNanos);
		bucket.returnTokens(request.returnedTokens());
		long tokens = bucket.take(request);
		if (tokens > 0 || request.neededTokens() == 0) {
			return grant(request, tokens, 0);
		}
		return grant(request, 0, bucket.retryAfterNanos(limit.get(), request.minTokens()));
	}

	private static Limit allocatorPart(Limit limit) {
		return new Limit(limit.tokensPerSecond() / ALLOCATORS_PER_LIMIT);
	}

	private QuotaGrant grant(QuotaRequest request, long tokens, long retryAfterNanos) {
		return new QuotaGrant(request.organisation(), request.model(), request.allocator(), request.sequence(),
				this.fence, tokens, GRANT_TTL_NANOS, retryAfterNanos);
	}

	/**
	 * Identifies a limit.
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

		void refill(Limit limit, long minTokens, long nowNanos) {
			// Without the larger capacity, a request above the burst would never be
			// granted.
			this.capacityTokens = Math.max(limit.burstTokens(), Math.max(minTokens, this.capacityTokens));
			double earned = (nowNanos - this.refilledNanos) / NANOS_PER_SECOND * limit.tokensPerSecond();
			this.tokens = Math.min(this.tokens + earned, this.capacityTokens);
			this.unmetTokens = Math.max(0, this.unmetTokens - earned);
			this.refilledNanos = nowNanos;
		}

		void returnTokens(long returnedTokens) {
			this.tokens = Math.min(this.tokens + returnedTokens, this.capacityTokens);
		}

		/**
		 * Returns the time after which a refused entry should retry. Successive refusals
		 * yield later times, so that the refused entries do not all retry at once.
		 * @param limit the limit
		 * @param neededTokens tokens that were refused
		 * @return nanoseconds
		 */
		long retryAfterNanos(Limit limit, long neededTokens) {
			double maxUnmetTokens = limit.tokensPerSecond() * MAX_RETRY_AFTER_SECONDS;
			this.unmetTokens = Math.min(maxUnmetTokens, this.unmetTokens + neededTokens);
			return (long) (this.unmetTokens / limit.tokensPerSecond() * NANOS_PER_SECOND);
		}

		long take(QuotaRequest request) {
			if (this.tokens < request.minTokens()) {
				return 0;
			}
			long neededTokens = (long) Math.min(this.tokens, request.neededTokens());
			long maxPrefetchTokens = (long) ((this.tokens - neededTokens) * MAX_PREFETCH_FRACTION);
			long grantedTokens = neededTokens + Math.min(request.prefetchTokens(), maxPrefetchTokens);
			this.tokens -= grantedTokens;
			this.capacityTokens = 0;
			return grantedTokens;
		}

	}

}
