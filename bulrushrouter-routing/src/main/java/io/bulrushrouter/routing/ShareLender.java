package io.bulrushrouter.routing;

import java.util.HashMap;
import java.util.Map;
import java.util.Optional;

import io.bulrushrouter.kernel.ModelId;
import io.bulrushrouter.kernel.OrganisationId;

/**
 * The holder's part of the limits of organisations: a token bucket for each limit, lent
 * out by demand. What is lent is spent as far as the holder knows, so tokens lent to an
 * entry that died are lost once and can't be spent twice. A new holder starts with empty
 * buckets, so that what its predecessor lent can't add up with its own. One thread owns
 * it.
 */
public final class ShareLender {

	/** How long lent tokens may be used, in nanoseconds. */
	public static final long LIFE_NANOS = 3_000_000_000L;

	/** The part of the free tokens that one ask may take beyond its need. */
	private static final double AHEAD_PART = 0.25;

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
		Optional<Limit> limit = this.limits.limit(ask.organisation(), ask.model());
		if (limit.isEmpty()) {
			return grant(ask, ask.neededTokens() + ask.aheadTokens(), 0);
		}
		Bucket bucket = this.buckets.computeIfAbsent(new Key(ask.organisation(), ask.model()),
				(key) -> new Bucket(this.startNanos));
		bucket.refill(limit.get(), nowNanos);
		bucket.giveBack(limit.get(), ask.returnedTokens());
		long tokens = bucket.take(ask.neededTokens(), ask.aheadTokens());
		if (tokens > 0 || ask.neededTokens() == 0) {
			return grant(ask, tokens, 0);
		}
		double missing = ask.neededTokens() - bucket.tokens;
		return grant(ask, 0, (long) (missing / limit.get().tokensPerSecond() * NANOS));
	}

	private ShareGrant grant(ShareAsk ask, long tokens, long retryAfterNanos) {
		return new ShareGrant(ask.organisation(), ask.model(), ask.sequence(), this.fence, tokens, LIFE_NANOS,
				retryAfterNanos);
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

		private long filledNanos;

		Bucket(long startNanos) {
			this.filledNanos = startNanos;
		}

		void refill(Limit limit, long nowNanos) {
			this.tokens += (nowNanos - this.filledNanos) / NANOS * limit.tokensPerSecond();
			this.tokens = Math.min(this.tokens, limit.burstTokens());
			this.filledNanos = nowNanos;
		}

		void giveBack(Limit limit, long returned) {
			this.tokens = Math.min(this.tokens + returned, limit.burstTokens());
		}

		long take(long needed, long ahead) {
			if (this.tokens < needed) {
				return 0;
			}
			long free = (long) ((this.tokens - needed) * AHEAD_PART);
			long granted = needed + Math.min(ahead, free);
			this.tokens -= granted;
			return granted;
		}

	}

}
