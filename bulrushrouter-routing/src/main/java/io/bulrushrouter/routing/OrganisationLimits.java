package io.bulrushrouter.routing;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.Iterator;
import java.util.List;
import java.util.Map;
import java.util.Optional;

import io.bulrushrouter.kernel.ModelId;
import io.bulrushrouter.kernel.OrganisationId;

/**
 * The entry's part of the limits of organisations: it uses tokens that the holder of a
 * limit lent it, and asks for more before they run out. One thread owns it.
 *
 * <pre>{@code
 * Admission admission = limits.admit(organisation, model, tokens, now);
 * limits.asks(now).forEach(this::sendToHolder);
 * limits.granted(grant, now); // then admit pending requests again
 * }</pre>
 */
public final class OrganisationLimits {

	/** How far ahead tokens are asked for, in seconds of the entry's own demand. */
	private static final double AHEAD_SECONDS = 1;

	/** An ask without an answer for this long is given up, in nanoseconds. */
	private static final long ASK_TIMEOUT_NANOS = 200_000_000L;

	/** Idle organisations are forgotten after this long, in nanoseconds. */
	private static final long FORGET_NANOS = 60_000_000_000L;

	private final LimitTable limits;

	private final int entries;

	private final Map<Key, Share> shares = new HashMap<>();

	private long lastSequence;

	private long highestFence;

	private OrganisationLimits(LimitTable limits, int entries) {
		this.limits = limits;
		this.entries = entries;
	}

	/**
	 * Returns an entry's limits, with nothing lent yet.
	 * @param limits the configured limits
	 * @param entries how many entries there may be; while no holder answers, each uses
	 * this part of a limit
	 * @return the limits
	 */
	public static OrganisationLimits of(LimitTable limits, int entries) {
		return new OrganisationLimits(limits, Math.max(1, entries));
	}

	/**
	 * Decides whether a request is within its organisation's limit, and if so takes its
	 * tokens.
	 * @param organisation the organisation
	 * @param model the model
	 * @param tokens prompt tokens and the most that may be generated
	 * @param nowNanos the time, in nanoseconds
	 * @return the decision
	 */
	public Admission admit(OrganisationId organisation, ModelId model, long tokens, long nowNanos) {
		Optional<Limit> limit = this.limits.limit(organisation, model);
		if (limit.isEmpty()) {
			return new Admission.Admitted();
		}
		if (tokens > limit.get().burstTokens()) {
			return new Admission.Refused(Long.MAX_VALUE);
		}
		Share share = this.shares.computeIfAbsent(new Key(organisation, model), (key) -> new Share(nowNanos));
		share.demand(tokens, nowNanos);
		if (share.use(tokens, nowNanos)) {
			return new Admission.Admitted();
		}
		if (share.isRefused(nowNanos)) {
			return new Admission.Refused(share.refusedUntilNanos - nowNanos);
		}
		if (share.isUnanswered(nowNanos)) {
			return share.useAlone(limit.get().tokensPerSecond() / this.entries, tokens, nowNanos);
		}
		share.neededTokens += tokens;
		return new Admission.Pending(ASK_TIMEOUT_NANOS);
	}

	/**
	 * Corrects an admitted request's tokens when its true cost is known.
	 * @param organisation the organisation
	 * @param model the model
	 * @param unusedTokens tokens taken at admission and not used
	 */
	public void unused(OrganisationId organisation, ModelId model, long unusedTokens) {
		Share share = this.shares.get(new Key(organisation, model));
		if (share != null) {
			share.returnedTokens += Math.max(0, unusedTokens);
		}
	}

	/**
	 * Returns what to ask the holders for now, at most one ask in flight a limit. To be
	 * called after admissions and at least every 100 ms.
	 * @param nowNanos the time, in nanoseconds
	 * @return the asks
	 */
	public List<ShareAsk> asks(long nowNanos) {
		List<ShareAsk> asks = new ArrayList<>();
		for (Iterator<Map.Entry<Key, Share>> iterator = this.shares.entrySet().iterator(); iterator.hasNext();) {
			Map.Entry<Key, Share> entry = iterator.next();
			Share share = entry.getValue();
			share.expire(nowNanos);
			if (share.shouldAsk(nowNanos)) {
				asks.add(ask(entry.getKey(), share, nowNanos));
			}
			else if (share.isIdle(nowNanos)) {
				iterator.remove();
			}
		}
		return asks;
	}

	private ShareAsk ask(Key key, Share share, long nowNanos) {
		this.lastSequence++;
		long ahead = (long) (share.tokensPerSecond(nowNanos) * AHEAD_SECONDS);
		ShareAsk ask = new ShareAsk(key.organisation(), key.model(), this.lastSequence, share.neededTokens, ahead,
				share.returnedTokens);
		share.asked(this.lastSequence, nowNanos);
		return ask;
	}

	/**
	 * Takes a holder's answer.
	 * @param grant the answer
	 * @param nowNanos the time, in nanoseconds
	 * @return whether it was used; late, repeated and outdated grants are not
	 */
	public boolean granted(ShareGrant grant, long nowNanos) {
		Share share = this.shares.get(new Key(grant.organisation(), grant.model()));
		if (share == null || grant.fence() < this.highestFence || share.askSequence != grant.sequence()) {
			return false;
		}
		this.highestFence = grant.fence();
		share.granted(grant, nowNanos);
		return true;
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
	 * Tokens lent to this entry, and what it asked for.
	 */
	private static final class Share {

		private static final double NANOS = 1e9;

		private long tokens;

		private long expiresNanos;

		private long neededTokens;

		private long returnedTokens;

		private long askSequence;

		private long askedNanos;

		private boolean unanswered;

		private long refusedUntilNanos;

		private double demandTokens;

		private long demandNanos;

		private double aloneTokens;

		private long aloneNanos;

		Share(long nowNanos) {
			this.refusedUntilNanos = nowNanos;
			this.expiresNanos = nowNanos;
			this.demandNanos = nowNanos;
			this.aloneNanos = nowNanos;
		}

		void demand(long more, long nowNanos) {
			this.demandTokens = tokensPerSecond(nowNanos) + more / 2.0;
			this.demandNanos = nowNanos;
		}

		double tokensPerSecond(long nowNanos) {
			return this.demandTokens * Math.exp(-(nowNanos - this.demandNanos) / (2 * NANOS));
		}

		boolean use(long wanted, long nowNanos) {
			expire(nowNanos);
			if (this.tokens < wanted) {
				return false;
			}
			this.tokens -= wanted;
			return true;
		}

		void expire(long nowNanos) {
			if (nowNanos >= this.expiresNanos) {
				this.tokens = 0;
			}
			if (this.askSequence != 0 && nowNanos - this.askedNanos > ASK_TIMEOUT_NANOS) {
				this.askSequence = 0;
				this.unanswered = true;
			}
		}

		boolean isRefused(long nowNanos) {
			return nowNanos < this.refusedUntilNanos;
		}

		boolean isUnanswered(long nowNanos) {
			expire(nowNanos);
			return this.unanswered;
		}

		Admission useAlone(double tokensPerSecond, long wanted, long nowNanos) {
			double earned = (nowNanos - this.aloneNanos) / NANOS * tokensPerSecond;
			this.aloneTokens = Math.min(tokensPerSecond, this.aloneTokens + earned);
			this.aloneNanos = nowNanos;
			if (this.aloneTokens < 0) {
				return new Admission.Refused((long) (-this.aloneTokens / tokensPerSecond * NANOS));
			}
			this.aloneTokens -= wanted;
			return new Admission.Admitted();
		}

		boolean shouldAsk(long nowNanos) {
			if (this.askSequence != 0 || isRefused(nowNanos)) {
				return false;
			}
			boolean runsLow = this.tokens < tokensPerSecond(nowNanos) * AHEAD_SECONDS / 2;
			return this.neededTokens > 0 || runsLow || this.unanswered;
		}

		boolean isIdle(long nowNanos) {
			return this.askSequence == 0 && nowNanos - this.demandNanos > FORGET_NANOS;
		}

		void asked(long sequence, long nowNanos) {
			this.askSequence = sequence;
			this.askedNanos = nowNanos;
			this.neededTokens = 0;
			this.returnedTokens = 0;
		}

		void granted(ShareGrant grant, long nowNanos) {
			this.askSequence = 0;
			this.unanswered = false;
			this.tokens += grant.tokens();
			this.expiresNanos = this.askedNanos + grant.lifeNanos();
			this.refusedUntilNanos = nowNanos + grant.retryAfterNanos();
		}

	}

}
