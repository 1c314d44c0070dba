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
 * Where the organisations' requests go, as the entries follow it.
 *
 * @param fence the highest fencing number that changed it
 * @param placements where each organisation is, by name
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
	 * @param fence the highest fencing number that changed it
	 * @param placements where each organisation is
	 * @return the placements
	 */
	public static Placements of(long fence, Map<OrganisationId, DataCentreId> placements) {
		List<Placement> list = new ArrayList<>();
		new TreeMap<>(placements)
			.forEach((organisation, dataCentre) -> list.add(new Placement(organisation, dataCentre)));
		return new Placements(fence, list);
	}

	/**
	 * Returns where each organisation is.
	 * @return the data centres
	 */
	public Map<OrganisationId, DataCentreId> byOrganisation() {
		return new TreeMap<>(
				this.placements.stream().collect(Collectors.toMap(Placement::organisation, Placement::dataCentre)));
	}

	/**
	 * Moves an organisation.
	 * @param organisation the organisation
	 * @param to where it goes
	 * @param holderFence the fencing number of the one who moves it
	 * @return the new placements, or empty if a higher fencing number was seen
	 */
	public Optional<Placements> moved(OrganisationId organisation, DataCentreId to, long holderFence) {
		if (holderFence < this.fence) {
			return Optional.empty();
		}
		Map<OrganisationId, DataCentreId> changed = byOrganisation();
		changed.put(organisation, to);
		return Optional.of(of(holderFence, changed));
	}

	/**
	 * Returns these placements with a higher fencing number, which shuts older holders
	 * out.
	 * @param holderFence the fencing number of the new holder
	 * @return the new placements
	 */
	public Placements withFence(long holderFence) {
		return new Placements(holderFence, this.placements);
	}

}
