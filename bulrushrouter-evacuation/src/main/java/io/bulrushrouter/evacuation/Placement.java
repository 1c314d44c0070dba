package io.bulrushrouter.evacuation;

import java.util.Objects;

import io.bulrushrouter.kernel.DataCentreId;
import io.bulrushrouter.kernel.OrganisationId;

/**
 * Where an organisation's requests go.
 *
 * @param organisation the organisation
 * @param dataCentre the data centre whose upstreams serve it
 */
public record Placement(OrganisationId organisation, DataCentreId dataCentre) {

	/**
	 * Checks the parts.
	 */
	public Placement {
		Objects.requireNonNull(organisation);
		Objects.requireNonNull(dataCentre);
	}

}
