package io.bulrushrouter.evacuation;

import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.TreeMap;

import io.bulrushrouter.kernel.DataCentreId;
import io.bulrushrouter.kernel.ModelId;
import io.bulrushrouter.kernel.OrganisationId;

/**
 * What organisations need and upstreams can carry, by data centre and model, kept while
 * one decision takes upstreams away and moves organisations. For use by one thread.
 */
public final class CapacityLedger {

	/** Stands for all data centres, where an organisation without a placement may be. */
	public static final DataCentreId ANYWHERE = DataCentreId.of("anywhere");

	private final Fleet fleet;

	private final Map<BalanceKey, Balance> balances = new TreeMap<>();

	private final boolean trackTotal;

	// With organisations that have no placement, all needs also count against the sum.
	CapacityLedger(Fleet fleet, boolean anywhere) {
		this.fleet = fleet;
		this.trackTotal = anywhere;
		if (anywhere) {
			fleet.organisations().forEach((organisation) -> addDemand(organisation, ANYWHERE));
		}
	}

	/**
	 * Lets an upstream take requests.
	 * @param upstream the upstream
	 */
	public void addCapacity(FleetUpstream upstream) {
		changeCapacity(upstream, upstream.capacity());
	}

	/**
	 * Takes an upstream away.
	 * @param upstream the upstream, which took requests before
	 */
	public void removeCapacity(FleetUpstream upstream) {
		changeCapacity(upstream, -upstream.capacity());
	}

	private void changeCapacity(FleetUpstream upstream, int capacity) {
		balance(upstream.dataCentre(), upstream.model()).capacity += capacity;
		if (this.trackTotal) {
			balance(ANYWHERE, upstream.model()).capacity += capacity;
		}
	}

	/**
	 * Sends an organisation to a data centre.
	 * @param organisation the organisation
	 * @param dataCentre the data centre
	 */
	public void addDemand(OrganisationId organisation, DataCentreId dataCentre) {
		this.fleet.demands(organisation)
			.forEach((demand) -> balance(dataCentre, demand.model()).demand += demand.requests());
	}

	/**
	 * Takes an organisation away from a data centre.
	 * @param organisation the organisation
	 * @param dataCentre where it was
	 */
	public void removeDemand(OrganisationId organisation, DataCentreId dataCentre) {
		this.fleet.demands(organisation)
			.forEach((demand) -> balance(dataCentre, demand.model()).demand -= demand.requests());
	}

	/**
	 * Finds a shortage at a data centre, or over all of them.
	 * @param dataCentre the data centre
	 * @param model the model or service
	 * @return the shortage, or empty if what is left is enough
	 */
	public Optional<Shortage> shortage(DataCentreId dataCentre, ModelId model) {
		return find(new BalanceKey(dataCentre, model)).or(() -> find(new BalanceKey(ANYWHERE, model)));
	}

	private Optional<Shortage> find(BalanceKey place) {
		return Optional.ofNullable(this.balances.get(place))
			.filter(Balance::isShort)
			.map((found) -> found.toShortage(place));
	}

	/**
	 * Returns all shortages.
	 * @return the shortages, by data centre and model
	 */
	public List<Shortage> shortages() {
		return this.balances.entrySet()
			.stream()
			.filter((entry) -> entry.getValue().isShort())
			.map((entry) -> entry.getValue().toShortage(entry.getKey()))
			.toList();
	}

	private Balance balance(DataCentreId dataCentre, ModelId model) {
		return this.balances.computeIfAbsent(new BalanceKey(dataCentre, model), (place) -> new Balance());
	}

	/**
	 * A model at a data centre.
	 *
	 * @param dataCentre the data centre
	 * @param model the model or service
	 */
	private record BalanceKey(DataCentreId dataCentre, ModelId model) implements Comparable<BalanceKey> {

		@Override
		public int compareTo(BalanceKey other) {
			int order = this.dataCentre.compareTo(other.dataCentre);
			return (order != 0) ? order : this.model.compareTo(other.model);
		}

	}

	private static final class Balance {

		private int demand;

		private int capacity;

		private boolean isShort() {
			return this.demand > this.capacity;
		}

		private Shortage toShortage(BalanceKey place) {
			return new Shortage(place.dataCentre(), place.model(), this.demand, this.capacity);
		}

	}

}
