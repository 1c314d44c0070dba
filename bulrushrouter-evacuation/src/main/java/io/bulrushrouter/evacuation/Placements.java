package io.bulrushrouter.evacuation;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.TreeMap;
import java.util.stream.Collectors;

import io.bulrushrouter.kernel.DataCentreId;
import io.bulrushrouter.kernel.OrganisationId;

/**
 * The data centres that serve the organisations. The entry processes route requests by
 * these placements.
 *
 * @param fence the highest fencing token that changed them
 * @param placements the placement of each organisation, ordered by organisation
 */
public record Placements(long fence, List<Placement> placements) {

	/**
	 * Copies the list.
	 */
	public Placements {
		placements = List.copyOf(placements);
	}

	/**
	 * Returns the placements of the given map.
	 * @param fence the highest fencing token that changed them
	 * @param placements the data centre of each organisation
	 * @return the placements
	 */
	public static Placements of(long fence, Map<OrganisationId, DataCentreId> placements) {
		List<Placement> list = new ArrayList<>();
		new TreeMap<>(placements)
			.forEach((organisation, dataCentre) -> list.add(new Placement(organisation, dataCentre)));
		return new Placements(fence, list);
	}

	/**
	 * Returns the data centre of each organisation.
	 * @return a new map of data centres by organisation
	 */
	public Map<OrganisationId, DataCentreId> byOrganisation() {
		return new TreeMap<>(
				this.placements.stream().collect(Collectors.toMap(Placement::organisation, Placement::dataCentre)));
	}

	/**
	 * Returns these placements with one organisation moved.
	 * @param organisation the organisation
	 * @param to the new data centre
	 * @param holderFence the fencing token of the lease holder that moves it
	 * @return the new placements, or empty if they were changed with a higher fencing
	 * token
	 */
	public Optional<Placements> moved(OrganisationId organisation, DataCentreId to, long holderFence) {
		if (holderFence < this.fence) {
			return Optional.empty();
		}
		Map<OrganisationId, DataCentreId> newPlacements = byOrganisation();
		newPlacements.put(organisation, to);
		return Optional.of(of(holderFence, newPlacements));
	}

	/**
	 * Returns these placements with a higher fencing token, so that moves by earlier
	 * lease holders are refused.
	 * @param holderFence the fencing token of the new lease holder
	 * @return the new placements
	 */
	public Placements withFence(long holderFence) {
		return new Placements(holderFence, this.placements);
	}

}
