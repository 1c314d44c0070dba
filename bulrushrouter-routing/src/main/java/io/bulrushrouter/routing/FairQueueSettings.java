package io.bulrushrouter.routing;

import java.util.Objects;

/**
 * How a sidecar queues requests.
 *
 * @param slots requests that the upstream may run at once
 * @param reservedSlots free slots that an organisation over its share leaves to others
 * @param maxPrefills requests that may be handed out and have no first token yet; an
 * organisation over its share may use a quarter of them; as many as slots for no bound
 * @param burstTokens tokens that the upstream serves in the time over which an
 * organisation may catch up on an unused share
 * @param maxQueuedTokens tokens that may wait before requests are shed
 * @param priorityStepTokens how far, in tokens, one step of priority may put a request
 * before other organisations' requests
 * @param weights the organisations' weights
 */
public record FairQueueSettings(int slots, int reservedSlots, int maxPrefills, long burstTokens, long maxQueuedTokens,
		long priorityStepTokens, OrganisationWeights weights) {

	/**
	 * Checks the parts.
	 */
	public FairQueueSettings {
		Objects.requireNonNull(weights);
	}

	/**
	 * Returns settings without a bound on prefills, for an upstream that starts requests
	 * side by side. {@link FairQueue#firstToken} need not be called.
	 * @param slots requests that the upstream may run at once
	 * @param weights the organisations' weights
	 * @return the settings
	 */
	public static FairQueueSettings of(int slots, OrganisationWeights weights) {
		return new FairQueueSettings(slots, defaultReservedSlots(slots), slots, 150_000, 200_000, 2_000, weights);
	}

	/**
	 * Returns the usual settings for a model engine that prefills one prompt after the
	 * other and honours priorities. {@link FairQueue#firstToken} must be called.
	 * @param slots requests that the engine may decode at once
	 * @param weights the organisations' weights
	 * @return the settings
	 */
	public static FairQueueSettings ofEngine(int slots, OrganisationWeights weights) {
		return new FairQueueSettings(slots, defaultReservedSlots(slots), Math.min(slots, 4), 150_000, 200_000, 2_000,
				weights);
	}

	/**
	 * Returns the usual settings for a plain service, where a request costs 1.
	 * @param slots requests that the service may run at once
	 * @param weights the organisations' weights
	 * @return the settings
	 */
	public static FairQueueSettings ofService(int slots, OrganisationWeights weights) {
		return new FairQueueSettings(slots, defaultReservedSlots(slots), slots, slots * 10L, slots * 20L, slots,
				weights);
	}

	private static int defaultReservedSlots(int slots) {
		return (slots > 1) ? Math.max(1, slots / 16) : 0;
	}

}
