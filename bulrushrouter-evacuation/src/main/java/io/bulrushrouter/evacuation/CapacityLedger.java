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

	private final Fleet fleet;

	private final Map<Place, Balance> balances = new TreeMap<>();

	CapacityLedger(Fleet fleet) {
		this.fleet = fleet;
	}

	/**
	 * Lets an upstream take requests.
	 * @param upstream the upstream
	 */
	public void add(FleetUpstream upstream) {
		balance(upstream.dataCentre(), upstream.model()).left += upstream.capacity();
	}

	/**
	 * Takes an upstream away.
	 * @param upstream the upstream, which took requests before
	 */
	public void remove(FleetUpstream upstream) {
		balance(upstream.dataCentre(), upstream.model()).left -= upstream.capacity();
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
	 * Finds a shortage.
	 * @param dataCentre the data centre
	 * @param model the model or service
	 * @return the shortage, or empty if what is left is enough
	 */
	public Optional<Shortage> shortage(DataCentreId dataCentre, ModelId model) {
		Place place = new Place(dataCentre, model);
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
