package io.bulrushrouter.gateway.upstream;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.random.RandomGenerator;

import io.bulrushrouter.gateway.source.UpstreamRecord;

/**
 * Chooses the upstream of an attempt: the one with the least work of this entry, with
 * failures counted as work, the own data centre first among equals. Entries see only
 * their own work; equal candidates are drawn at random so that entries do not pick the
 * same one. Not thread-safe.
 */
public final class UpstreamSelector {

	/** Requests that an upstream which always fails counts as having in flight. */
	private static final double FAILURE_COST = 12;

	/** What another data centre counts, in requests: it only breaks ties. */
	private static final double REMOTE_COST = 0.4;

	private final String dataCentre;

	private final RandomGenerator random;

	private final Map<String, UpstreamHealth> health = new HashMap<>();

	/**
	 * Creates a choice.
	 * @param dataCentre the entry's data centre
	 * @param random breaks ties
	 */
	public UpstreamSelector(String dataCentre, RandomGenerator random) {
		this.dataCentre = dataCentre;
		this.random = random;
	}

	/**
	 * Picks an upstream.
	 * @param candidates the upstreams that accept requests
	 * @param tried those that the request was sent to before, which come last
	 * @param nowNanos the time
	 * @return the upstream, or empty if all have as much work as they may get from here
	 */
	public Optional<UpstreamRecord> pick(List<UpstreamRecord> candidates, Set<String> tried, long nowNanos) {
		UpstreamRecord best = null;
		double bestCost = Double.MAX_VALUE;
		for (UpstreamRecord candidate : candidates) {
			UpstreamHealth state = healthOf(candidate.id());
			if (tried.contains(candidate.id()) || !state.usable(nowNanos)
					|| state.inFlight() >= maxInFlight(candidate)) {
				continue;
			}
			double cost = cost(candidate, state);
			if (cost < bestCost) {
				best = candidate;
				bestCost = cost;
			}
		}
		return (best != null) ? Optional.of(best) : earliestReadmitted(candidates, tried, nowNanos);
	}

	// If all candidates are left alone for their failures, the one whose time is over
	// first gets the request: never are all ejected.
	private Optional<UpstreamRecord> earliestReadmitted(List<UpstreamRecord> candidates, Set<String> tried,
			long nowNanos) {
		boolean anyUsable = candidates.stream().anyMatch((candidate) -> healthOf(candidate.id()).usable(nowNanos));
		if (anyUsable) {
			return Optional.empty();
		}
		return candidates.stream()
			.filter((candidate) -> !tried.contains(candidate.id()) && healthOf(candidate.id()).inFlight() == 0)
			.min((one, other) -> Long.compare(healthOf(one.id()).ejectedUntilNanos(),
					healthOf(other.id()).ejectedUntilNanos()));
	}

	private double cost(UpstreamRecord candidate, UpstreamHealth state) {
		double distance = candidate.dataCentre().equals(this.dataCentre) ? 0 : REMOTE_COST;
		return state.inFlight() + FAILURE_COST * state.failureRate() + distance + 0.1 * this.random.nextDouble();
	}

	private static int maxInFlight(UpstreamRecord candidate) {
		return Math.max(2, candidate.slots());
	}

	/**
	 * Notes that an attempt was sent.
	 * @param id the upstream
	 */
	public void started(String id) {
		healthOf(id).started();
	}

	/**
	 * Notes how an attempt ended.
	 * @param id the upstream
	 * @param outcome how it ended
	 * @param nowNanos the time
	 */
	public void ended(String id, Outcome outcome, long nowNanos) {
		UpstreamHealth state = healthOf(id);
		switch (outcome) {
			case SUCCESS -> state.succeeded();
			case FAILURE -> state.failed(nowNanos);
			case NEUTRAL -> state.ended();
		}
	}

	/**
	 * Forgets upstreams that are gone and have no requests in flight.
	 * @param listed the upstreams that are there
	 */
	public void retain(Set<String> listed) {
		this.health.entrySet()
			.removeIf((entry) -> !listed.contains(entry.getKey()) && entry.getValue().inFlight() == 0);
	}

	private UpstreamHealth healthOf(String id) {
		return this.health.computeIfAbsent(id, (key) -> new UpstreamHealth());
	}

	/**
	 * What an attempt shows of its upstream.
	 */
	public enum Outcome {

		/** It answered as it should. */
		SUCCESS,

		/** It failed, or could not be reached. */
		FAILURE,

		/** Nothing: the caller left, or the upstream is full or leaving. */
		NEUTRAL

	}

}
