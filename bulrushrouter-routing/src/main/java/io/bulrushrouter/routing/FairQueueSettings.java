package io.bulrushrouter.routing;

import java.util.Objects;

/**
 * How a sidecar queues requests.
 *
 * @param slots requests that the upstream may run at once
 * @param reservedSlots free slots that an organisation over its share leaves to others
 * @param maxQueuedTokens tokens that may wait before requests are shed
 * @param priorityTokens how far, in tokens, one step of priority may put a request before
 * other organisations' requests
 * @param weights the organisations' weights
 */
public record FairQueueSettings(int slots, int reservedSlots, long maxQueuedTokens, long priorityTokens,
		OrganisationWeights weights) {

	/**
	 * Checks the parts.
	 */
	public FairQueueSettings {
		Objects.requireNonNull(weights);
	}

	/**
	 * Returns the usual settings for an upstream.
	 * @param slots requests that the upstream may run at once
	 * @param weights the organisations' weights
	 * @return the settings
	 */
	public static FairQueueSettings of(int slots, OrganisationWeights weights) {
		return new FairQueueSettings(slots, Math.max(1, slots / 8), 200_000, 2_000, weights);
	}

}
