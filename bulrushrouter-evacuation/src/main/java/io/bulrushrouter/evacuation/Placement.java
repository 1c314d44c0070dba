package io.bulrushrouter.evacuation;

import java.util.Objects;

import io.bulrushrouter.kernel.DataCentreId;
import io.bulrushrouter.kernel.OrganisationId;

/**
 * The data centre that serves an organisation.
 *
 * @param organisation the organisation
 * @param dataCentre the data centre whose upstreams serve it
 */
public record Placement(OrganisationId organisation, DataCentreId dataCentre) {

	/**
	 * Rejects null components.
	 */
	public Placement {
		Objects.requireNonNull(organisation);
		Objects.requireNonNull(dataCentre);
	}

}
