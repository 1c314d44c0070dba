package io.bulrushrouter.evacuation.reconcile;

import java.util.Collection;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.TreeMap;
import java.util.TreeSet;
import java.util.stream.Collectors;

import io.bulrushrouter.evacuation.EvacuationPlan;
import io.bulrushrouter.evacuation.Fleet;
import io.bulrushrouter.kernel.DataCentreId;
import io.bulrushrouter.kernel.OrganisationId;
import io.bulrushrouter.kernel.UpstreamId;

/**
 * A snapshot of the observed state of the fleet.
 *
 * @param upstreams the upstreams whose sidecars answered
 * @param placements the data centre to which each organisation's requests are routed
 * @param storeUp whether the store is available; if not, the placements are those last
 * read and no order is sent
 */
public record Observation(Map<UpstreamId, ObservedUpstream> upstreams, Map<OrganisationId, DataCentreId> placements,
		boolean storeUp) {

	/**
	 * Creates an observation with copies of the maps.
	 */
	public Observation {
		upstreams = Map.copyOf(upstreams);
		placements = Map.copyOf(placements);
	}

	/**
	 * Creates an observation made while the store was available.
	 * @param upstreams the upstreams whose sidecars answered
	 * @param placements the data centre to which each organisation's requests are routed
	 * @return the observation
	 */
	public static Observation of(Collection<ObservedUpstream> upstreams, Map<OrganisationId, DataCentreId> placements) {
		return new Observation(new TreeMap<>(
				upstreams.stream().collect(Collectors.toMap(ObservedUpstream::upstream, (upstream) -> upstream))),
				placements, true);
	}

	/**
	 * Returns a copy of this observation that marks the store as unavailable.
	 * @return the observation
	 */
	public Observation withStoreDown() {
		return new Observation(this.upstreams, this.placements, false);
	}

	/**
	 * Finds the observed state of an upstream.
	 * @param upstream the upstream
	 * @return the state reported by its sidecar, or empty if that did not answer
	 */
	public Optional<ObservedUpstream> find(UpstreamId upstream) {
		return Optional.ofNullable(this.upstreams.get(upstream));
	}

	/**
	 * Returns whether an upstream is known to accept requests.
	 * @param upstream the upstream
	 * @return {@code true} if its sidecar answered and reported it as running
	 */
	public boolean running(UpstreamId upstream) {
		return find(upstream).filter((observed) -> observed.phase() == Phase.RUNNING).isPresent();
	}

	/**
	 * Returns the upstreams that are stopped.
	 * @return the upstreams, sorted by name
	 */
	public Set<UpstreamId> stopped() {
		return this.upstreams.values()
			.stream()
			.filter((upstream) -> upstream.phase() == Phase.STOPPED)
			.map(ObservedUpstream::upstream)
			.collect(Collectors.toCollection(TreeSet::new));
	}

	/**
	 * Counts the upstreams of a plan that are not stopped.
	 * @param plan the plan
	 * @param fleet the inventory of the fleet
	 * @return the count, including upstreams whose sidecars do not answer
	 */
	public int remaining(EvacuationPlan plan, Fleet fleet) {
		Set<UpstreamId> stopped = stopped();
		return (int) plan.leaving(fleet).stream().filter((upstream) -> !stopped.contains(upstream.id())).count();
	}

}
