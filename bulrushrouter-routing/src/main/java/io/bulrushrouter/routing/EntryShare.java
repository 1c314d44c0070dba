package io.bulrushrouter.routing;

import io.bulrushrouter.kernel.ModelId;
import io.bulrushrouter.kernel.OrganisationId;

/**
 * The tokens of one limit that were lent to this entry, and what it asked for.
 */
final class EntryShare {

	/** How far ahead tokens are asked for, in seconds of the entry's own demand. */
	private static final double AHEAD_SECONDS = 1;

	/** Time constant of the entry's demand, in seconds. */
	private static final double DEMAND_SECONDS = 2;

	/** An ask without an answer for this long is given up, in nanoseconds. */
	private static final long ASK_TIMEOUT_NANOS = 200_000_000L;

	/** Pause between asks that only return tokens or try a silent holder. */
	private static final long ASK_PAUSE_NANOS = 200_000_000L;

	private static final double NANOS = 1e9;

	private int holder;

	private long tokens;

	private long expiresNanos;

	private long neededTokens;

	private long leastTokens;

	private long returnedTokens;

	private long askSequence;

	private long askedNanos;

	private int silentAsks;

	private int refusals;

	private long refusedUntilNanos;

	private double demandTokens;

	private long demandNanos;

	private long lastWanted;

	private double aloneTokens;

	private long aloneNanos;

	EntryShare(int holder, long nowNanos) {
		this.holder = holder;
		this.refusedUntilNanos = nowNanos;
		this.expiresNanos = nowNanos;
		this.demandNanos = nowNanos;
		this.askedNanos = nowNanos - ASK_PAUSE_NANOS;
	}

	Admission admit(long wanted, double aloneTokensPerSecond, long nowNanos) {
		demand(wanted, nowNanos);
		expire(nowNanos);
		if (this.tokens >= wanted) {
			this.tokens -= wanted;
			return new Admission.Admitted();
		}
		if (nowNanos < this.refusedUntilNanos) {
			return new Admission.Refused(this.refusedUntilNanos - nowNanos);
		}
		if (this.silentAsks >= ShareLender.HOLDERS) {
			return admitAlone(wanted, aloneTokensPerSecond, nowNanos);
		}
		this.leastTokens = (this.neededTokens == 0) ? wanted : Math.min(this.leastTokens, wanted);
		this.neededTokens += wanted;
		return new Admission.Pending(ASK_TIMEOUT_NANOS);
	}

	private Admission admitAlone(long wanted, double tokensPerSecond, long nowNanos) {
		double earned = (nowNanos - this.aloneNanos) / NANOS * tokensPerSecond;
		this.aloneTokens = Math.min(this.aloneTokens + earned, Math.max(wanted, tokensPerSecond * AHEAD_SECONDS));
		this.aloneNanos = nowNanos;
		if (this.aloneTokens < wanted) {
			return new Admission.Refused((long) ((wanted - this.aloneTokens) / tokensPerSecond * NANOS));
		}
		this.aloneTokens -= wanted;
		return new Admission.Admitted();
	}

	void unused(long more) {
		this.returnedTokens += Math.max(0, more);
	}

	boolean shouldAsk(long nowNanos) {
		expire(nowNanos);
		if (this.askSequence != 0 || nowNanos < this.refusedUntilNanos) {
			return false;
		}
		if (this.neededTokens > 0 && this.silentAsks < ShareLender.HOLDERS) {
			return true;
		}
		boolean paused = nowNanos - this.askedNanos >= ASK_PAUSE_NANOS;
		boolean wants = this.tokens < aheadTokens(nowNanos) / 2 || this.returnedTokens > 0 || this.silentAsks > 0;
		return paused && wants;
	}

	ShareAsk ask(OrganisationId organisation, ModelId model, long sequence, long nowNanos) {
		ShareAsk ask = new ShareAsk(organisation, model, this.holder, sequence, this.neededTokens, this.leastTokens,
				aheadTokens(nowNanos), this.returnedTokens);
		this.askSequence = sequence;
		this.askedNanos = nowNanos;
		this.neededTokens = 0;
		this.leastTokens = 0;
		this.returnedTokens = 0;
		return ask;
	}

	boolean awaits(long sequence) {
		return this.askSequence == sequence;
	}

	void granted(ShareGrant grant, long nowNanos) {
		// Those that still wait are admitted anew, and count again then.
		this.neededTokens = 0;
		this.askSequence = 0;
		this.silentAsks = 0;
		this.tokens += grant.tokens();
		this.expiresNanos = this.askedNanos + grant.lifeNanos();
		if (grant.retryAfterNanos() == 0) {
			this.refusals = 0;
			return;
		}
		this.refusals++;
		turnToNextHolder();
		if (this.refusals >= ShareLender.HOLDERS) {
			this.refusals = 0;
			this.refusedUntilNanos = nowNanos + grant.retryAfterNanos();
		}
	}

	boolean isIdle(long nowNanos, long forgetNanos) {
		return this.askSequence == 0 && this.tokens == 0 && nowNanos - this.demandNanos > forgetNanos;
	}

	private void turnToNextHolder() {
		this.holder = (this.holder + 1) % ShareLender.HOLDERS;
	}

	private void demand(long wanted, long nowNanos) {
		this.demandTokens = tokensPerSecond(nowNanos) + wanted / DEMAND_SECONDS;
		this.demandNanos = nowNanos;
		this.lastWanted = wanted;
	}

	private double tokensPerSecond(long nowNanos) {
		return this.demandTokens * Math.exp(-(nowNanos - this.demandNanos) / (DEMAND_SECONDS * NANOS));
	}

	private long aheadTokens(long nowNanos) {
		// Rare requests would leave most tokens unused.
		double ahead = tokensPerSecond(nowNanos) * AHEAD_SECONDS;
		return (ahead > this.lastWanted) ? (long) ahead : 0;
	}

	private void expire(long nowNanos) {
		if (nowNanos >= this.expiresNanos) {
			this.returnedTokens += this.tokens;
			this.tokens = 0;
		}
		if (this.askSequence != 0 && nowNanos - this.askedNanos > ASK_TIMEOUT_NANOS) {
			this.askSequence = 0;
			this.silentAsks++;
			if (this.silentAsks == ShareLender.HOLDERS) {
				this.aloneNanos = nowNanos;
				this.aloneTokens = 0;
			}
			turnToNextHolder();
		}
	}

}
