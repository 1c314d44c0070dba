package io.bulrushrouter.evacuation;

import java.util.Objects;

import io.bulrushrouter.kernel.ModelId;
import io.bulrushrouter.kernel.OrganisationId;

/**
 * What an organisation needs of one model or plain service at its peak.
 *
 * @param organisation the organisation
 * @param model the model or service
 * @param requests how many requests it has in the air at once
 */
public record Demand(OrganisationId organisation, ModelId model, int requests) {

	/**
	 * Checks the parts.
	 */
	public Demand {
		Objects.requireNonNull(organisation);
		Objects.requireNonNull(model);
	}

}
