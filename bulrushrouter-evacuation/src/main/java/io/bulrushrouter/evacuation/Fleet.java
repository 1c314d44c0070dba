package io.bulrushrouter.evacuation;

import java.util.Collection;
import java.util.Collections;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.TreeMap;
import java.util.TreeSet;
import java.util.function.Predicate;
import java.util.stream.Collectors;

import io.bulrushrouter.kernel.DataCentreId;
import io.bulrushrouter.kernel.ModelId;
import io.bulrushrouter.kernel.OrganisationId;
import io.bulrushrouter.kernel.UpstreamId;

/**
 * The inventory: all upstreams, and the demands of each organisation.
 */
public final class Fleet {

	private final Map<UpstreamId, FleetUpstream> upstreams;

	private final Map<Target, List<FleetUpstream>> units;

	private final Map<Target, List<FleetUpstream>> targets;

	private final Map<OrganisationId, List<Demand>> demands;

	private final Map<String, OrganisationId> organisationNames;

	private final Set<DataCentreId> dataCentres;

	private Fleet(Collection<FleetUpstream> upstreams, Collection<Demand> demands) {
		this.upstreams = new TreeMap<>(
				upstreams.stream().collect(Collectors.toMap(FleetUpstream::id, (upstream) -> upstream)));
		this.units = this.upstreams.values()
			.stream()
			.collect(Collectors.groupingBy(FleetUpstream::unit, TreeMap::new, Collectors.toUnmodifiableList()));
		this.targets = new TreeMap<>(this.units);
		this.upstreams.values().forEach((upstream) -> this.targets.put(Target.of(upstream.id()), List.of(upstream)));
		this.demands = demands.stream()
			.collect(Collectors.groupingBy(Demand::organisation, TreeMap::new, Collectors.toUnmodifiableList()));
		this.organisationNames = this.demands.keySet()
			.stream()
			.collect(Collectors.toMap(OrganisationId::value, (organisation) -> organisation));
		this.dataCentres = upstreams.stream()
			.map(FleetUpstream::dataCentre)
			.collect(Collectors.toCollection(TreeSet::new));
	}

	/**
	 * Returns an inventory of the given upstreams and demands.
	 * @param upstreams all upstreams, without duplicates
	 * @param demands the demands of the organisations; the inventory does not know an
	 * organisation without a demand
	 * @return the inventory
	 */
	public static Fleet of(Collection<FleetUpstream> upstreams, Collection<Demand> demands) {
		return new Fleet(upstreams, demands);
	}

	/**
	 * Returns the description of an upstream.
	 * @param id the upstream
	 * @return the description, or empty if the upstream is unknown
	 */
	public Optional<FleetUpstream> find(UpstreamId id) {
		return Optional.ofNullable(this.upstreams.get(id));
	}

	/**
	 * Returns all upstreams.
	 * @return the upstreams, ordered by name
	 */
	public List<FleetUpstream> upstreams() {
		return List.copyOf(this.upstreams.values());
	}

	/**
	 * Returns the units that can only leave as a whole: rank groups, and upstreams
	 * outside any group.
	 * @return the members of each unit, ordered by name
	 */
	public Map<Target, List<FleetUpstream>> units() {
		return Collections.unmodifiableMap(this.units);
	}

	/**
	 * Returns the upstreams that a target names.
	 * @param target an upstream or a group
	 * @return the upstreams; empty if the target is unknown
	 */
	public List<FleetUpstream> members(Target target) {
		return this.targets.getOrDefault(target, List.of());
	}

	/**
	 * Returns the organisations.
	 * @return the organisations, ordered by name
	 */
	public Set<OrganisationId> organisations() {
		return Collections.unmodifiableSet(this.demands.keySet());
	}

	/**
	 * Returns the organisation with the given name.
	 * @param name the name, which need not be valid
	 * @return the organisation, or empty if it is unknown
	 */
	public Optional<OrganisationId> organisation(String name) {
		return Optional.ofNullable(this.organisationNames.get(name));
	}

	/**
	 * Returns the data centre with the given name.
	 * @param name the name, which need not be valid
	 * @return the data centre, or empty if it has no upstream
	 */
	public Optional<DataCentreId> dataCentre(String name) {
		return this.dataCentres.stream().filter((dataCentre) -> dataCentre.value().equals(name)).findFirst();
	}

	/**
	 * Returns the data centres that have upstreams.
	 * @return the data centres, ordered by name
	 */
	public Set<DataCentreId> dataCentres() {
		return Collections.unmodifiableSet(this.dataCentres);
	}

	/**
	 * Returns the demands of an organisation.
	 * @param organisation the organisation
	 * @return the demands; empty if the organisation is unknown
	 */
	public List<Demand> demands(OrganisationId organisation) {
		return this.demands.getOrDefault(organisation, List.of());
	}

	/**
	 * Returns the models and services for which an organisation has demand.
	 * @param organisation the organisation
	 * @return the models, ordered by name
	 */
	public Set<ModelId> models(OrganisationId organisation) {
		return this.demands.getOrDefault(organisation, List.of())
			.stream()
			.filter((demand) -> demand.requests() > 0)
			.map(Demand::model)
			.collect(Collectors.toCollection(TreeSet::new));
	}

	/**
	 * Creates a ledger of demand and capacity.
	 * @param placements the data centre that serves each organisation; requests of an
	 * organisation without a placement may go to any data centre
	 * @param acceptsRequests whether an upstream accepts requests
	 * @return the ledger
	 */
	public CapacityLedger ledger(Map<OrganisationId, DataCentreId> placements, Predicate<UpstreamId> acceptsRequests) {
		CapacityLedger ledger = new CapacityLedger(this, !placements.keySet().containsAll(organisations()));
		placements.forEach(ledger::addDemand);
		this.upstreams.values()
			.stream()
			.filter((upstream) -> acceptsRequests.test(upstream.id()))
			.forEach(ledger::addCapacity);
		return ledger;
	}

}
