package io.bulrushrouter.routing;

import java.util.Optional;

import io.bulrushrouter.kernel.ModelId;
import io.bulrushrouter.kernel.OrganisationId;

/**
 * The configured rate limits of organisations.
 */
@FunctionalInterface
public interface LimitTable {

	/**
	 * Returns the limit of an organisation for a model.
	 * @param organisation the organisation
	 * @param model the model
	 * @return the limit, or empty if there is none
	 */
	Optional<Limit> limit(OrganisationId organisation, ModelId model);

}
