package io.bulrushrouter.evacuation;

import java.util.Objects;

import io.bulrushrouter.kernel.ModelId;
import io.bulrushrouter.kernel.OrganisationId;

/**
 * The peak demand of an organisation for one model or plain service.
 *
 * @param organisation the organisation
 * @param model the model or service
 * @param requests the maximum number of requests in flight at once
 */
public record Demand(OrganisationId organisation, ModelId model, int requests) {

	/**
	 * Rejects null components.
	 */
	public Demand {
		Objects.requireNonNull(organisation);
		Objects.requireNonNull(model);
	}

}
