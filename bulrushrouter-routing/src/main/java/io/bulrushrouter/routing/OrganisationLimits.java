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
 * Enforces the limits of organisations at one entry. It spends the tokens that the
 * allocators of a limit granted to the entry, and requests more before they run out. Not
 * thread-safe.
 *
 * <pre>{@code
 * Admission admission = limits.admit(organisation, model, tokens, now);
 * limits.quotaRequests(now).forEach(this::sendToAllocator);
 * limits.granted(grant, now); // then admit pending requests again
 * }</pre>
 */
public final class OrganisationLimits {

	/** Largest request that may be admitted, in seconds of the limit. */
	private static final double MAX_REQUEST_SECONDS = 60;

	/** Time without requests after which a quota is removed, in nanoseconds. */
	private static final long IDLE_TIMEOUT_NANOS = 60_000_000_000L;

	private final LimitTable limits;

	private final int entryCount;

	private final int firstAllocator;

	private final Map<Key, EntryQuota> quotas = new HashMap<>();

	private final long[] highestFence = new long[QuotaAllocator.ALLOCATORS_PER_LIMIT];

	private long lastSequence;

	private OrganisationLimits(LimitTable limits, int entryCount, int firstAllocator) {
		this.limits = limits;
		this.entryCount = entryCount;
		this.firstAllocator = firstAllocator;
	}

	/**
	 * Returns the limits of an entry that holds no tokens yet.
	 * @param limits the configured limits
	 * @param entryCount the largest number of entries; while no allocator answers, each
	 * entry admits up to an equal part of a limit
	 * @param entry any number; different numbers distribute the entries over the
	 * allocators that they contact first
	 * @return the limits
	 */
	public static OrganisationLimits of(LimitTable limits, int entryCount, int entry) {
		return new OrganisationLimits(limits, Math.max(1, entryCount),
				Math.floorMod(entry, QuotaAllocator.ALLOCATORS_PER_LIMIT));
	}

	/**
	 * Decides whether a request is within its organisation's limit, and if so takes its
	 * tokens.
	 * @param organisation the organisation
	 * @param model the model
	 * @param tokens the prompt's tokens and the largest number that may be generated
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
		EntryQuota quota = this.quotas.computeIfAbsent(new Key(organisation, model),
				(key) -> new EntryQuota(this.firstAllocator, nowNanos));
		return quota.admit(tokens, limit.get().tokensPerSecond() / this.entryCount, nowNanos);
	}

	/**
	 * Returns the tokens that an admitted request did not use, once its actual cost is
	 * known.
	 * @param organisation the organisation
	 * @param model the model
	 * @param unusedTokens tokens taken at admission and not used
	 */
	public void returnUnused(OrganisationId organisation, ModelId model, long unusedTokens) {
		EntryQuota quota = this.quotas.get(new Key(organisation, model));
		if (quota != null) {
			quota.returnUnused(unusedTokens);
		}
	}

	/**
	 * Returns the requests to send to allocators now, with at most one in flight for each
	 * limit. Call this after admissions and at least every 100 ms.
	 * @param nowNanos the time, in nanoseconds
	 * @return the requests
	 */
	public List<QuotaRequest> quotaRequests(long nowNanos) {
		List<QuotaRequest> requests = new ArrayList<>();
		for (Iterator<Map.Entry<Key, EntryQuota>> iterator = this.quotas.entrySet().iterator(); iterator.hasNext();) {
			Map.Entry<Key, EntryQuota> entry = iterator.next();
			EntryQuota quota = entry.getValue();
			if (quota.shouldRequest(nowNanos)) {
				this.lastSequence++;
				requests.add(quota.nextRequest(entry.getKey().organisation(), entry.getKey().model(), this.lastSequence,
						nowNanos));
			}
			else if (quota.isIdle(nowNanos, IDLE_TIMEOUT_NANOS)) {
				iterator.remove();
			}
		}
		return requests;
	}

	/**
	 * Applies an allocator's grant.
	 * @param grant the grant
	 * @param nowNanos the time, in nanoseconds
	 * @return whether the grant was applied; late and repeated ones, and those of an
	 * older allocator, are ignored
	 */
	public boolean granted(QuotaGrant grant, long nowNanos) {
		EntryQuota quota = this.quotas.get(new Key(grant.organisation(), grant.model()));
		boolean fenced = grant.fence() < this.highestFence[grant.allocator()];
		if (quota == null || fenced || !quota.isAwaiting(grant.sequence())) {
			return false;
		}
		this.highestFence[grant.allocator()] = grant.fence();
		quota.granted(grant, nowNanos);
		return true;
	}

	/**
	 * Identifies a limit.
	 *
	 * @param organisation the organisation
	 * @param model the model
	 */
	private record Key(OrganisationId organisation, ModelId model) {
	}

}
