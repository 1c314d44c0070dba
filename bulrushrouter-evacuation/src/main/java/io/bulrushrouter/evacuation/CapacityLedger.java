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

	private final Map<Place, Balance> balances = new TreeMap<>();

	private final boolean anywhere;

	// With organisations that have no placement, all needs also count against the sum.
	CapacityLedger(Fleet fleet, boolean anywhere) {
		this.fleet = fleet;
		this.anywhere = anywhere;
		if (anywhere) {
			fleet.organisations().forEach((organisation) -> place(organisation, ANYWHERE));
		}
	}

	/**
	 * Lets an upstream take requests.
	 * @param upstream the upstream
	 */
	public void add(FleetUpstream upstream) {
		change(upstream, upstream.capacity());
	}

	/**
	 * Takes an upstream away.
	 * @param upstream the upstream, which took requests before
	 */
	public void remove(FleetUpstream upstream) {
		change(upstream, -upstream.capacity());
	}

	private void change(FleetUpstream upstream, int capacity) {
		balance(upstream.dataCentre(), upstream.model()).left += capacity;
		if (this.anywhere) {
			balance(ANYWHERE, upstream.model()).left += capacity;
		}
	}

	/**
	 * Sends an organisation to a data centre.
	 * @param organisation the organisation
	 * @param dataCentre the data centre
	 */
	public void place(OrganisationId organisation, DataCentreId dataCentre) {
		this.fleet.demands(organisation)
			.forEach((demand) -> balance(dataCentre, demand.model()).needed += demand.requests());
	}

	/**
	 * Takes an organisation away from a data centre.
	 * @param organisation the organisation
	 * @param dataCentre where it was
	 */
	public void displace(OrganisationId organisation, DataCentreId dataCentre) {
		this.fleet.demands(organisation)
			.forEach((demand) -> balance(dataCentre, demand.model()).needed -= demand.requests());
	}

	/**
	 * Finds a shortage at a data centre, or over all of them.
	 * @param dataCentre the data centre
	 * @param model the model or service
	 * @return the shortage, or empty if what is left is enough
	 */
	public Optional<Shortage> shortage(DataCentreId dataCentre, ModelId model) {
		return find(new Place(dataCentre, model)).or(() -> find(new Place(ANYWHERE, model)));
	}

	private Optional<Shortage> find(Place place) {
		return Optional.ofNullable(this.balances.get(place)).filter(Balance::isShort).map((found) -> found.at(place));
	}

	/**
	 * Returns all shortages.
	 * @return the shortages, by data centre and model
	 */
	public List<Shortage> shortages() {
		return this.balances.entrySet()
			.stream()
			.filter((entry) -> entry.getValue().isShort())
			.map((entry) -> entry.getValue().at(entry.getKey()))
			.toList();
	}

	private Balance balance(DataCentreId dataCentre, ModelId model) {
		return this.balances.computeIfAbsent(new Place(dataCentre, model), (place) -> new Balance());
	}

	/**
	 * A model at a data centre.
	 *
	 * @param dataCentre the data centre
	 * @param model the model or service
	 */
	private record Place(DataCentreId dataCentre, ModelId model) implements Comparable<Place> {

		@Override
		public int compareTo(Place other) {
			int order = this.dataCentre.compareTo(other.dataCentre);
			return (order != 0) ? order : this.model.compareTo(other.model);
		}

	}

	private static final class Balance {

		private int needed;

		private int left;

		private boolean isShort() {
			return this.needed > this.left;
		}

		private Shortage at(Place place) {
			return new Shortage(place.dataCentre(), place.model(), this.needed, this.left);
		}

	}

}
