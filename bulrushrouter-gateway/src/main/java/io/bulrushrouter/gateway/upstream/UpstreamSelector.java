package io.bulrushrouter.gateway.upstream;

import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.random.RandomGenerator;

import io.bulrushrouter.gateway.source.UpstreamRecord;

/**
 * Selects the upstream of an attempt by least load. Load is the number of requests that
 * this entry has in flight there plus a cost for recent failures; among equals an
 * upstream in the own data centre is preferred. Entries see only their own load, so
 * remaining ties are broken at random to keep entries from all picking the same upstream.
 * Not thread-safe.
 */
public final class UpstreamSelector {

	/** Cost of a failure rate of 1, in requests in flight. */
	private static final double FAILURE_COST = 12;

	/**
	 * Cost of another data centre, in requests in flight. It is below 1 so that it only
	 * breaks ties.
	 */
	private static final double REMOTE_COST = 0.4;

	private final String dataCentre;

	private final RandomGenerator random;

	private final Map<String, UpstreamHealth> health = new HashMap<>();

	/**
	 * Creates a selector.
	 * @param dataCentre the entry's data centre
	 * @param random the random source that breaks ties
	 */
	public UpstreamSelector(String dataCentre, RandomGenerator random) {
		this.dataCentre = dataCentre;
		this.random = random;
	}

	/**
	 * Selects an upstream.
	 * @param candidates the upstreams that accept requests
	 * @param tried the identifiers of the upstreams that the request was sent to before,
	 * which are not selected again
	 * @param nowNanos the current monotonic time, in nanoseconds
	 * @return the upstream, or empty if none is left that this entry may send the request
	 * to
	 */
	public Optional<UpstreamRecord> pick(List<UpstreamRecord> candidates, Set<String> tried, long nowNanos) {
		UpstreamRecord best = null;
		double bestCost = Double.MAX_VALUE;
		for (UpstreamRecord candidate : candidates) {
			UpstreamHealth upstreamHealth = healthOf(candidate.id());
			if (tried.contains(candidate.id()) || !upstreamHealth.usable(nowNanos)
					|| upstreamHealth.inFlight() >= maxInFlight(candidate)) {
				continue;
			}
			double cost = cost(candidate, upstreamHealth);
			if (cost < bestCost) {
				best = candidate;
				bestCost = cost;
			}
		}
		return (best != null) ? Optional.of(best) : earliestReadmitted(candidates, tried, nowNanos);
	}

	// If no candidate is usable, the one whose ejection ends first gets the request, an
	// unresponsive one last: never are all upstreams of a service unavailable because of
	// what this entry has observed.
	private Optional<UpstreamRecord> earliestReadmitted(List<UpstreamRecord> candidates, Set<String> tried,
			long nowNanos) {
		boolean anyUsable = candidates.stream().anyMatch((candidate) -> healthOf(candidate.id()).usable(nowNanos));
		if (anyUsable) {
			return Optional.empty();
		}
		return candidates.stream()
			.filter((candidate) -> !tried.contains(candidate.id()) && healthOf(candidate.id()).inFlight() == 0)
			.min(Comparator.comparing((UpstreamRecord candidate) -> !healthOf(candidate.id()).responsive())
				.thenComparing((candidate) -> healthOf(candidate.id()).ejectedUntilNanos()));
	}

	private double cost(UpstreamRecord candidate, UpstreamHealth upstreamHealth) {
		double distance = candidate.dataCentre().equals(this.dataCentre) ? 0 : REMOTE_COST;
		return upstreamHealth.inFlight() + FAILURE_COST * upstreamHealth.failureRate() + distance
				+ 0.1 * this.random.nextDouble();
	}

	private static int maxInFlight(UpstreamRecord candidate) {
		return Math.max(2, candidate.slots());
	}

	/**
	 * Records that an attempt was sent.
	 * @param id the upstream's identifier
	 */
	public void started(String id) {
		healthOf(id).started();
	}

	/**
	 * Records the outcome of an attempt.
	 * @param id the upstream's identifier
	 * @param outcome the outcome
	 * @param nowNanos the current monotonic time, in nanoseconds
	 */
	public void ended(String id, Outcome outcome, long nowNanos) {
		UpstreamHealth upstreamHealth = healthOf(id);
		switch (outcome) {
			case SUCCESS -> upstreamHealth.succeeded();
			case FAILURE -> upstreamHealth.failed(nowNanos);
			case NEUTRAL -> upstreamHealth.ended();
		}
	}

	/**
	 * Records whether an upstream responds. An unresponsive upstream is not selected.
	 * @param id the upstream's identifier
	 * @param responsive whether it responds
	 */
	public void responsive(String id, boolean responsive) {
		healthOf(id).responsive(responsive);
	}

	/**
	 * Returns whether an upstream responds.
	 * @param id the upstream's identifier
	 * @return whether it was not recorded as unresponsive
	 */
	public boolean responsive(String id) {
		return healthOf(id).responsive();
	}

	/**
	 * Returns whether an upstream is neither ejected nor unresponsive.
	 * @param id the upstream's identifier
	 * @param nowNanos the current monotonic time, in nanoseconds
	 * @return whether it is usable
	 */
	boolean usable(String id, long nowNanos) {
		return healthOf(id).usable(nowNanos);
	}

	/**
	 * Returns the number of requests that this entry has in flight at an upstream.
	 * @param id the upstream's identifier
	 * @return the number
	 */
	int inFlight(String id) {
		return healthOf(id).inFlight();
	}

	/**
	 * Discards the health of upstreams that are no longer listed and have no requests in
	 * flight.
	 * @param listed the identifiers of the listed upstreams
	 */
	public void retain(Set<String> listed) {
		this.health.entrySet()
			.removeIf((entry) -> !listed.contains(entry.getKey()) && entry.getValue().inFlight() == 0);
	}

	private UpstreamHealth healthOf(String id) {
		return this.health.computeIfAbsent(id, (key) -> new UpstreamHealth());
	}

	/**
	 * The outcome of an attempt with regard to the health of its upstream.
	 */
	public enum Outcome {

		/** The upstream answered as expected. */
		SUCCESS,

		/** The upstream failed or could not be reached. */
		FAILURE,

		/**
		 * No evidence: the caller disconnected, or the upstream is overloaded or
		 * draining.
		 */
		NEUTRAL

	}

}
