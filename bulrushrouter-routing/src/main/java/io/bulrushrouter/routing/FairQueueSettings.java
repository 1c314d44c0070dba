package io.bulrushrouter.routing;

import java.util.Objects;

/**
 * Settings of a {@link FairQueue}.
 *
 * @param slots the largest number of requests that the upstream runs at once
 * @param reservedSlots free slots that an organisation over its share must leave to other
 * organisations
 * @param maxPrefills the largest number of dispatched requests without a first token;
 * organisations over their share may use a quarter of it; equal to {@code slots} for no
 * bound
 * @param burstTokens the burst credit: tokens that the upstream serves in the time for
 * which an organisation may catch up on an unused share
 * @param maxQueuedTokens tokens that may wait before requests are shed
 * @param priorityStepTokens how far, in tokens, each step of priority may advance a
 * request ahead of other organisations' requests
 * @param weights the organisations' weights
 */
public record FairQueueSettings(int slots, int reservedSlots, int maxPrefills, long burstTokens, long maxQueuedTokens,
		long priorityStepTokens, OrganisationWeights weights) {

	/**
	 * Creates the settings.
	 */
	public FairQueueSettings {
		Objects.requireNonNull(weights);
	}

	/**
	 * Returns the default settings for an upstream that starts requests concurrently.
	 * Prefills are not bounded, so {@link FairQueue#firstToken} need not be called.
	 * @param slots the largest number of requests that the upstream runs at once
	 * @param weights the organisations' weights
	 * @return the settings
	 */
	public static FairQueueSettings of(int slots, OrganisationWeights weights) {
		return new FairQueueSettings(slots, defaultReservedSlots(slots), slots, 150_000, 200_000, 2_000, weights);
	}

	/**
	 * Returns the default settings for a model engine that prefills one prompt at a time
	 * and honours priorities. Prefills are bounded, so {@link FairQueue#firstToken} must
	 * be called.
	 * @param slots the largest number of requests that the engine decodes at once
	 * @param weights the organisations' weights
	 * @return the settings
	 */
	public static FairQueueSettings ofEngine(int slots, OrganisationWeights weights) {
		return new FairQueueSettings(slots, defaultReservedSlots(slots), Math.min(slots, 4), 150_000, 200_000, 2_000,
				weights);
	}

	/**
	 * Returns the default settings for a plain service, where each request costs 1.
	 * @param slots the largest number of requests that the service runs at once
	 * @param weights the organisations' weights
	 * @return the settings
	 */
	public static FairQueueSettings ofService(int slots, OrganisationWeights weights) {
		return new FairQueueSettings(slots, defaultReservedSlots(slots), slots, slots * 10L, slots * 20L, slots,
				weights);
	}

	/**
	 * Returns the settings for a queue that only orders requests: whether another one may
	 * start, and how many may wait, is decided elsewhere.
	 * @param burstTokens the burst credit, in tokens
	 * @param weights the organisations' weights
	 * @return the settings
	 */
	public static FairQueueSettings ofOrder(long burstTokens, OrganisationWeights weights) {
		return new FairQueueSettings(Integer.MAX_VALUE, 0, Integer.MAX_VALUE, burstTokens, Long.MAX_VALUE, 0, weights);
	}

	private static int defaultReservedSlots(int slots) {
		return (slots > 1) ? Math.max(1, slots / 16) : 0;
	}

}
