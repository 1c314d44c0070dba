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
 * What is observed of the fleet.
 *
 * @param upstreams the upstreams whose sidecars answered
 * @param placements where the organisations' requests go
 * @param storeUp whether the store answered; if not, the placements are of an earlier
 * reading and no step is taken
 */
public record Observation(Map<UpstreamId, ObservedUpstream> upstreams, Map<OrganisationId, DataCentreId> placements,
		boolean storeUp) {

	/**
	 * Copies the maps.
	 */
	public Observation {
		upstreams = Map.copyOf(upstreams);
		placements = Map.copyOf(placements);
	}

	/**
	 * Returns the observation of the given parts.
	 * @param upstreams the upstreams whose sidecars answered
	 * @param placements where the organisations' requests go
	 * @return the observation, with the store up
	 */
	public static Observation of(Collection<ObservedUpstream> upstreams, Map<OrganisationId, DataCentreId> placements) {
		return new Observation(new TreeMap<>(
				upstreams.stream().collect(Collectors.toMap(ObservedUpstream::upstream, (upstream) -> upstream))),
				placements, true);
	}

	/**
	 * Returns this observation as it stands while the store does not answer.
	 * @return the observation
	 */
	public Observation withStoreDown() {
		return new Observation(this.upstreams, this.placements, false);
	}

	/**
	 * Finds an upstream.
	 * @param upstream the upstream
	 * @return what its sidecar said, or empty if it did not answer
	 */
	public Optional<ObservedUpstream> find(UpstreamId upstream) {
		return Optional.ofNullable(this.upstreams.get(upstream));
	}

	/**
	 * Tells whether an upstream takes requests.
	 * @param upstream the upstream
	 * @return whether its sidecar answered and it is running
	 */
	public boolean running(UpstreamId upstream) {
		return find(upstream).filter((observed) -> observed.phase() == Phase.RUNNING).isPresent();
	}

	/**
	 * Returns the upstreams that are stopped.
	 * @return the upstreams, by name
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
	 * @param fleet the inventory
	 * @return the count; an upstream that does not answer counts as there
	 */
	public int remaining(EvacuationPlan plan, Fleet fleet) {
		Set<UpstreamId> stopped = stopped();
		return (int) plan.leaving(fleet).stream().filter((upstream) -> !stopped.contains(upstream.id())).count();
	}

}
