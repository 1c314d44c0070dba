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
 * The entry's part of the limits of organisations: it uses tokens that the holders of a
 * limit lent it, and asks for more before they run out. One thread owns it.
 *
 * <pre>{@code
 * Admission admission = limits.admit(organisation, model, tokens, now);
 * limits.asks(now).forEach(this::sendToHolder);
 * limits.granted(grant, now); // then admit pending requests again
 * }</pre>
 */
public final class OrganisationLimits {

	/** Largest request, in seconds of the limit; larger ones are never admitted. */
	private static final double MAX_REQUEST_SECONDS = 60;

	/** Idle organisations are forgotten after this long, in nanoseconds. */
	private static final long IDLE_TIMEOUT_NANOS = 60_000_000_000L;

	private final LimitTable limits;

	private final int entryCount;

	private final int firstAllocator;

	private final Map<Key, EntryQuota> quotas = new HashMap<>();

	private final long[] highestFence = new long[QuotaAllocator.ALLOCATORS_PER_LIMIT];

	private long lastSequence;

	private OrganisationLimits(LimitTable limits, int entries, int firstHolder) {
		this.limits = limits;
		this.entryCount = entries;
		this.firstAllocator = firstHolder;
	}

	/**
	 * Returns an entry's limits, with nothing lent yet.
	 * @param limits the configured limits
	 * @param entries how many entries there may be; while no holder answers, each uses
	 * this part of a limit
	 * @param entry any number that spreads the entries over the holders
	 * @return the limits
	 */
	public static OrganisationLimits of(LimitTable limits, int entries, int entry) {
		return new OrganisationLimits(limits, Math.max(1, entries),
				Math.floorMod(entry, QuotaAllocator.ALLOCATORS_PER_LIMIT));
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
		if (tokens > limit.get().tokensPerSecond() * MAX_REQUEST_SECONDS) {
			return new Admission.Refused(Long.MAX_VALUE);
		}
		EntryQuota share = this.quotas.computeIfAbsent(new Key(organisation, model),
				(key) -> new EntryQuota(this.firstAllocator, nowNanos));
		return share.admit(tokens, limit.get().tokensPerSecond() / this.entryCount, nowNanos);
	}

	/**
	 * Gives back what an admitted request did not use, when its true cost is known.
	 * @param organisation the organisation
	 * @param model the model
	 * @param unusedTokens tokens taken at admission and not used
	 */
	public void returnUnused(OrganisationId organisation, ModelId model, long unusedTokens) {
		EntryQuota share = this.quotas.get(new Key(organisation, model));
		if (share != null) {
			share.returnUnused(unusedTokens);
		}
	}

	/**
	 * Returns what to ask the holders for now, at most one ask in flight a limit. To be
	 * called after admissions and at least every 100 ms.
	 * @param nowNanos the time, in nanoseconds
	 * @return the asks
	 */
	public List<QuotaRequest> quotaRequests(long nowNanos) {
		List<QuotaRequest> asks = new ArrayList<>();
		for (Iterator<Map.Entry<Key, EntryQuota>> all = this.quotas.entrySet().iterator(); all.hasNext();) {
			Map.Entry<Key, EntryQuota> entry = all.next();
			EntryQuota share = entry.getValue();
			if (share.shouldRequest(nowNanos)) {
				this.lastSequence++;
				asks.add(share.nextRequest(entry.getKey().organisation(), entry.getKey().model(), this.lastSequence,
						nowNanos));
			}
			else if (share.isIdle(nowNanos, IDLE_TIMEOUT_NANOS)) {
				all.remove();
			}
		}
		return asks;
	}

	/**
	 * Takes a holder's answer.
	 * @param grant the answer
	 * @param nowNanos the time, in nanoseconds
	 * @return whether it was used; late, repeated and outdated grants are not
	 */
	public boolean granted(QuotaGrant grant, long nowNanos) {
		EntryQuota share = this.quotas.get(new Key(grant.organisation(), grant.model()));
		boolean outdated = grant.fence() < this.highestFence[grant.allocator()];
		if (share == null || outdated || !share.isAwaiting(grant.sequence())) {
			return false;
		}
		this.highestFence[grant.allocator()] = grant.fence();
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

}
