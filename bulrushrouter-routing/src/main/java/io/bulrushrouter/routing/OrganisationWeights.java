package io.bulrushrouter.routing;

import io.bulrushrouter.kernel.OrganisationId;

/**
 * The weights of organisations in fair queueing.
 */
@FunctionalInterface
public interface OrganisationWeights {

	/**
	 * Returns an organisation's weight.
	 * @param organisation the organisation
	 * @return the weight, above 0
	 */
	double weight(OrganisationId organisation);

	/**
	 * Returns a weight of 1 for every organisation.
	 * @return the weights
	 */
	static OrganisationWeights ofEqual() {
		return (organisation) -> 1;
	}

}
