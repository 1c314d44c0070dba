package io.bulrushrouter.evacuation;

import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.TreeMap;

import io.bulrushrouter.kernel.DataCentreId;
import io.bulrushrouter.kernel.ModelId;
import io.bulrushrouter.kernel.OrganisationId;

/**
 * Tracks the demand of organisations against the capacity of upstreams, by data centre
 * and model, while one decision removes upstreams and moves organisations. Not
 * thread-safe.
 */
public final class CapacityLedger {

	/** Represents all data centres together, for organisations without a placement. */
	public static final DataCentreId ANYWHERE = DataCentreId.of("anywhere");

	private final Fleet fleet;

	private final Map<BalanceKey, Balance> balances = new TreeMap<>();

	private final boolean trackTotal;

	// If any organisation has no placement, the total demand of all organisations is also
	// checked against the total capacity of all data centres.
	CapacityLedger(Fleet fleet, boolean trackTotal) {
		this.fleet = fleet;
		this.trackTotal = trackTotal;
		if (trackTotal) {
			fleet.organisations().forEach((organisation) -> addDemand(organisation, ANYWHERE));
		}
	}

	/**
	 * Adds the capacity of an upstream.
	 * @param upstream the upstream
	 */
	public void addCapacity(FleetUpstream upstream) {
		changeCapacity(upstream, upstream.capacity());
	}

	/**
	 * Removes the capacity of an upstream.
	 * @param upstream the upstream, whose capacity was added before
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
	 * Adds the demand of an organisation to a data centre.
	 * @param organisation the organisation
	 * @param dataCentre the data centre
	 */
	public void addDemand(OrganisationId organisation, DataCentreId dataCentre) {
		this.fleet.demands(organisation)
			.forEach((demand) -> balance(dataCentre, demand.model()).demand += demand.requests());
	}

	/**
	 * Removes the demand of an organisation from a data centre.
	 * @param organisation the organisation
	 * @param dataCentre the data centre to which its demand was added
	 */
	public void removeDemand(OrganisationId organisation, DataCentreId dataCentre) {
		this.fleet.demands(organisation)
			.forEach((demand) -> balance(dataCentre, demand.model()).demand -= demand.requests());
	}

	/**
	 * Returns the shortage of a model at a data centre or, if there is none, over all
	 * data centres together.
	 * @param dataCentre the data centre
	 * @param model the model or service
	 * @return the shortage, or empty if the capacity is sufficient
	 */
	public Optional<Shortage> shortage(DataCentreId dataCentre, ModelId model) {
		return find(new BalanceKey(dataCentre, model)).or(() -> find(new BalanceKey(ANYWHERE, model)));
	}

	private Optional<Shortage> find(BalanceKey key) {
		return Optional.ofNullable(this.balances.get(key))
			.filter(Balance::isShort)
			.map((balance) -> balance.toShortage(key));
	}

	/**
	 * Returns all shortages.
	 * @return the shortages, ordered by data centre and model
	 */
	public List<Shortage> shortages() {
		return this.balances.entrySet()
			.stream()
			.filter((entry) -> entry.getValue().isShort())
			.map((entry) -> entry.getValue().toShortage(entry.getKey()))
			.toList();
	}

	private Balance balance(DataCentreId dataCentre, ModelId model) {
		return this.balances.computeIfAbsent(new BalanceKey(dataCentre, model), (key) -> new Balance());
	}

	/**
	 * Identifies a balance: a model at a data centre.
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

		private Shortage toShortage(BalanceKey key) {
			return new Shortage(key.dataCentre(), key.model(), this.demand, this.capacity);
		}

	}

}
