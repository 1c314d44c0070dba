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
public final class ShareLender {

	/** Holders of each limit. */
	public static final int HOLDERS = 2;

	/** How long lent tokens may be used, in nanoseconds. */
	public static final long LIFE_NANOS = 1_000_000_000L;

	/** The part of the free tokens that one ask may take beyond its need. */
	private static final double AHEAD_PART = 0.1;

	/** Longest time after which an entry is told to ask again, in seconds. */
	private static final double LONGEST_RETRY_SECONDS = 3;

	private static final double NANOS = 1e9;

	private final LimitTable limits;

	private final long fence;

	private final long startNanos;

	private final Map<Key, Bucket> buckets = new HashMap<>();

	private ShareLender(LimitTable limits, long fence, long startNanos) {
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
	public static ShareLender of(LimitTable limits, long fence, long nowNanos) {
		return new ShareLender(limits, fence, nowNanos);
	}

	/**
	 * Lends tokens.
	 * @param ask what an entry asks for
	 * @param nowNanos the time, in nanoseconds
	 * @return the answer
	 */
	public ShareGrant lend(ShareAsk ask, long nowNanos) {
		Optional<Limit> limit = this.limits.limit(ask.organisation(), ask.model()).map(ShareLender::part);
		if (limit.isEmpty()) {
			return grant(ask, ask.neededTokens() + ask.aheadTokens(), 0);
		}
		Bucket bucket = this.buckets.computeIfAbsent(new Key(ask.organisation(), ask.model()),
				(key) -> new Bucket(this.startNanos));
		bucket.refill(limit.get(), ask.leastTokens(), nowNanos);
		bucket.giveBack(ask.returnedTokens());
		long tokens = bucket.take(ask);
		if (tokens > 0 || ask.neededTokens() == 0) {
			return grant(ask, tokens, 0);
		}
		return grant(ask, 0, bucket.retryAfterNanos(limit.get(), ask.leastTokens()));
	}

	private static Limit part(Limit whole) {
		return new Limit(whole.tokensPerSecond() / HOLDERS);
	}

	private ShareGrant grant(ShareAsk ask, long tokens, long retryAfterNanos) {
		return new ShareGrant(ask.organisation(), ask.model(), ask.holder(), ask.sequence(), this.fence, tokens,
				LIFE_NANOS, retryAfterNanos);
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

		private long filledNanos;

		Bucket(long startNanos) {
			this.filledNanos = startNanos;
		}

		void refill(Limit limit, long least, long nowNanos) {
			// A request larger than the burst must not wait for ever.
			this.capacityTokens = Math.max(limit.burstTokens(), Math.max(least, this.capacityTokens));
			double earned = (nowNanos - this.filledNanos) / NANOS * limit.tokensPerSecond();
			this.tokens = Math.min(this.tokens + earned, this.capacityTokens);
			this.unmetTokens = Math.max(0, this.unmetTokens - earned);
			this.filledNanos = nowNanos;
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
			double longest = limit.tokensPerSecond() * LONGEST_RETRY_SECONDS;
			this.unmetTokens = Math.min(longest, this.unmetTokens + needed);
			return (long) (this.unmetTokens / limit.tokensPerSecond() * NANOS);
		}

		long take(ShareAsk ask) {
			if (this.tokens < ask.leastTokens()) {
				return 0;
			}
			long needed = (long) Math.min(this.tokens, ask.neededTokens());
			long free = (long) ((this.tokens - needed) * AHEAD_PART);
			long granted = needed + Math.min(ask.aheadTokens(), free);
			this.tokens -= granted;
			this.capacityTokens = 0;
			return granted;
		}

	}

}
