package io.bulrushrouter.gateway.upstream;

import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalDouble;
import java.util.Set;
import java.util.concurrent.TimeUnit;
import java.util.function.Predicate;
import java.util.random.RandomGenerator;
import java.util.stream.Collectors;

import io.bulrushrouter.gateway.source.UpstreamRecord;

/**
 * Selects the upstream of an attempt by least load. Load is the number of requests that
 * this entry has in flight there, each counted by how slow the upstream is compared with
 * its service, plus a cost for recent failures; among equals an upstream in the own data
 * centre is preferred. A slow upstream takes part only in a share of the choices. Entries
 * see only their own load, so remaining ties are broken at random to keep entries from
 * all picking the same upstream. Not thread-safe.
 */
public final class UpstreamSelector {

	/** Cost of a failure rate of 1, in requests in flight. */
	private static final double FAILURE_COST = 12;

	/**
	 * Cost of another data centre, in requests in flight. It is below 1 so that it only
	 * breaks ties.
	 */
	private static final double REMOTE_COST = 0.4;

	/** Upper bound of the random cost that breaks ties. */
	private static final double TIE_COST = 0.1;

	private final String dataCentre;

	private final RandomGenerator random;

	private final Predicate<UpstreamRecord> cold;

	private final Map<String, UpstreamHealth> health = new HashMap<>();

	private final Map<String, ServiceCapacity> services = new HashMap<>();

	private final CapacityLog capacityLog = new CapacityLog();

	/**
	 * Creates a selector for upstreams that are never cold.
	 * @param dataCentre the entry's data centre
	 * @param random the random source that breaks ties
	 */
	public UpstreamSelector(String dataCentre, RandomGenerator random) {
		this(dataCentre, random, (upstream) -> false);
	}

	/**
	 * Creates a selector.
	 * @param dataCentre the entry's data centre
	 * @param random the random source that breaks ties
	 * @param cold whether an upstream is cold, so that nothing is learned from its
	 * latency
	 */
	public UpstreamSelector(String dataCentre, RandomGenerator random, Predicate<UpstreamRecord> cold) {
		this.dataCentre = dataCentre;
		this.random = random;
		this.cold = cold;
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
		boolean bestExplores = false;
		double bestCost = Double.MAX_VALUE;
		ServiceCapacity service = candidates.isEmpty() ? null : this.services.get(candidates.get(0).service());
		boolean mayExplore = service != null && service.mayExplore();
		for (UpstreamRecord candidate : candidates) {
			UpstreamHealth upstreamHealth = healthOf(candidate.id());
			double fixedCost = failureCost(upstreamHealth) + distanceCost(candidate);
			// No random number and no estimate can make up for a higher fixed cost.
			if (fixedCost >= bestCost || exclusion(candidate, upstreamHealth, tried, nowNanos) != Exclusion.NONE) {
				continue;
			}
			double slowness = slowness(candidate, upstreamHealth, service, nowNanos);
			boolean withheld = slowness > 1 && this.random.nextDouble() >= choiceShare(slowness);
			boolean explores = withheld && mayExplore && upstreamHealth.capacity().explorationDue(nowNanos);
			double cost = fixedCost + loadCost(upstreamHealth, slowness)
					+ ((withheld && !explores) ? withheldCost(slowness) : 0);
			if (cost < bestCost) {
				cost += TIE_COST * this.random.nextDouble();
			}
			if (cost < bestCost) {
				best = candidate;
				bestCost = cost;
				bestExplores = explores;
			}
		}
		if (service != null) {
			service.chosen(bestExplores);
		}
		return (best != null) ? Optional.of(best) : lastResort(candidates, tried, nowNanos);
	}

	/**
	 * Explains how each of several upstreams would take part in a choice now.
	 * @param candidates the upstreams that accept requests
	 * @param tried the identifiers of the upstreams that the request was sent to before
	 * @param nowNanos the current monotonic time, in nanoseconds
	 * @return the explanations in the order of the candidates
	 */
	public List<UpstreamExplanation> explain(List<UpstreamRecord> candidates, Set<String> tried, long nowNanos) {
		return candidates.stream().map((candidate) -> {
			UpstreamHealth upstreamHealth = healthOf(candidate.id());
			double slowness = slowness(candidate, upstreamHealth, this.services.get(candidate.service()), nowNanos);
			return new UpstreamExplanation(candidate.id(), candidate.dataCentre(),
					exclusion(candidate, upstreamHealth, tried, nowNanos), upstreamHealth.inFlight(), 1 / slowness,
					choiceShare(slowness), loadCost(upstreamHealth, slowness), failureCost(upstreamHealth),
					distanceCost(candidate), withheldCost(slowness));
		}).toList();
	}

	private static Exclusion exclusion(UpstreamRecord candidate, UpstreamHealth upstreamHealth, Set<String> tried,
			long nowNanos) {
		if (tried.contains(candidate.id())) {
			return Exclusion.TRIED;
		}
		if (!upstreamHealth.usable(nowNanos)) {
			return upstreamHealth.responsive() ? Exclusion.EJECTED : Exclusion.UNRESPONSIVE;
		}
		return (upstreamHealth.inFlight() >= maxInFlight(candidate)) ? Exclusion.FULL : Exclusion.NONE;
	}

	private static double slowness(UpstreamRecord candidate, UpstreamHealth upstreamHealth, ServiceCapacity service,
			long nowNanos) {
		if (service != null && !upstreamHealth.capacity().comparable()) {
			upstreamHealth.capacity().compareWith(candidate, service);
		}
		return upstreamHealth.capacity().slowness(nowNanos);
	}

	private static double choiceShare(double slowness) {
		return Math.min(1, 1 / (slowness * slowness));
	}

	// An upstream that is withheld is chosen if all others have more in flight than this.
	private static double withheldCost(double slowness) {
		return (slowness > 1) ? slowness : 0;
	}

	private static double loadCost(UpstreamHealth upstreamHealth, double slowness) {
		return slowness * upstreamHealth.inFlight();
	}

	private static double failureCost(UpstreamHealth upstreamHealth) {
		return FAILURE_COST * upstreamHealth.failureRate();
	}

	private double distanceCost(UpstreamRecord candidate) {
		return candidate.dataCentre().equals(this.dataCentre) ? 0 : REMOTE_COST;
	}

	/**
	 * Returns the upstream that gets a request although none is usable: the one whose
	 * ejection ends first, an unresponsive one last. Never are all upstreams of a service
	 * unavailable because of what this entry has observed.
	 * @param candidates the upstreams that accept requests
	 * @param tried the identifiers of the upstreams that the request was sent to before
	 * @param nowNanos the current monotonic time, in nanoseconds
	 * @return the upstream, or empty if any is usable or none is left
	 */
	public Optional<UpstreamRecord> lastResort(List<UpstreamRecord> candidates, Set<String> tried, long nowNanos) {
		boolean anyUsable = candidates.stream().anyMatch((candidate) -> healthOf(candidate.id()).usable(nowNanos));
		if (anyUsable) {
			return Optional.empty();
		}
		return candidates.stream()
			.filter((candidate) -> !tried.contains(candidate.id()) && healthOf(candidate.id()).inFlight() == 0)
			.min(Comparator.comparing((UpstreamRecord candidate) -> !healthOf(candidate.id()).responsive())
				.thenComparing((candidate) -> healthOf(candidate.id()).ejectedUntilNanos()));
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
	 * Observes an attempt that was sent, to learn the capacity of its upstream.
	 * @param upstream the upstream
	 * @param size the size of the request
	 * @param nowNanos the current monotonic time, in nanoseconds
	 * @return the observation
	 */
	public AttemptObservation observe(UpstreamRecord upstream, AttemptSize size, long nowNanos) {
		if (this.cold.test(upstream)) {
			return AttemptObservation.NONE;
		}
		UpstreamHealth upstreamHealth = healthOf(upstream.id());
		ServiceCapacity service = this.services.computeIfAbsent(upstream.service(), (key) -> new ServiceCapacity());
		int requestClass = size.requestClass(Math.max(0, upstreamHealth.inFlight() - 1));
		AttemptObservation observation = new AttemptObservation(upstreamHealth.capacity(),
				() -> this.cold.test(upstream), size.stream(), requestClass,
				service.answers().expectedNanos(requestClass), nowNanos);
		upstreamHealth.capacity().compareWith(upstream, service);
		upstreamHealth.capacity().sent(observation);
		return observation;
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
	 * Records whether an upstream responds. An unresponsive upstream is not selected, and
	 * what its open attempts take says nothing of its capacity: it is to get requests as
	 * soon as it responds.
	 * @param id the upstream's identifier
	 * @param responsive whether it responds
	 */
	public void responsive(String id, boolean responsive) {
		UpstreamHealth upstreamHealth = healthOf(id);
		upstreamHealth.responsive(responsive);
		if (!responsive) {
			upstreamHealth.capacity().discardUnanswered();
		}
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
	 * Returns the latency that a request is expected to have at the mean upstream of a
	 * service.
	 * @param service the name of the service
	 * @param size the size of the request
	 * @return the time to the answer or its first event, in milliseconds, or empty if too
	 * little is known of requests like it
	 */
	public OptionalDouble expectedMillis(String service, AttemptSize size) {
		ServiceCapacity common = this.services.get(service);
		double nanos = (common != null) ? common.answers().expectedNanos(size.requestClass(0))
				: Double.POSITIVE_INFINITY;
		return Double.isFinite(nanos) ? OptionalDouble.of(nanos / TimeUnit.MILLISECONDS.toNanos(1))
				: OptionalDouble.empty();
	}

	/**
	 * Compares the upstreams of each service and logs what was learned.
	 * @param nowNanos the current monotonic time, in nanoseconds
	 */
	public void review(long nowNanos) {
		Map<String, List<UpstreamCapacity>> byService = this.health.values()
			.stream()
			.map(UpstreamHealth::capacity)
			.filter(UpstreamCapacity::comparable)
			.collect(Collectors.groupingBy((capacity) -> capacity.upstream().service()));
		this.services.keySet().retainAll(byService.keySet());
		byService.forEach((name, capacities) -> this.services.get(name).compare(capacities, nowNanos));
		this.health.forEach((id, upstreamHealth) -> this.capacityLog.review(id, upstreamHealth.capacity(), nowNanos));
	}

	/**
	 * Returns the capacity of each upstream that this entry has considered.
	 * @param nowNanos the current monotonic time, in nanoseconds
	 * @return the capacities by identifier, relative to the mean of the service
	 */
	public Map<String, Double> capacities(long nowNanos) {
		Map<String, Double> capacities = new HashMap<>();
		this.health.forEach((id, upstreamHealth) -> {
			if (upstreamHealth.capacity().comparable()) {
				capacities.put(id, 1 / upstreamHealth.capacity().slowness(nowNanos));
			}
		});
		return capacities;
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
	 * Discards the health and capacity of upstreams that are no longer listed and have no
	 * requests in flight.
	 * @param listed the identifiers of the listed upstreams
	 */
	public void retain(Set<String> listed) {
		this.health.entrySet()
			.removeIf((entry) -> !listed.contains(entry.getKey()) && entry.getValue().inFlight() == 0);
	}

	private UpstreamHealth healthOf(String id) {
		UpstreamHealth known = this.health.get(id);
		return (known != null) ? known : this.health.computeIfAbsent(id, (key) -> new UpstreamHealth());
	}

	/**
	 * Why an upstream is not chosen for an attempt.
	 */
	public enum Exclusion {

		/** It may be chosen. */
		NONE,

		/** The request was sent there before. */
		TRIED,

		/** Requests failed there, and its ejection or probe is not over. */
		EJECTED,

		/** It owes responses and answers no probe. */
		UNRESPONSIVE,

		/** This entry has as many requests in flight there as it has slots. */
		FULL

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
