package io.bulrushrouter.routing;

/**
 * A rate limit of an organisation for a model.
 *
 * @param tokensPerSecond tokens per second over all entries, above 0
 */
public record Limit(double tokensPerSecond) {

	/**
	 * Burst size, in seconds of the limit. A burst and the tokens of grants that are
	 * still valid ({@link QuotaAllocator#GRANT_TTL_NANOS}) may together exceed the limit
	 * over a minute by up to 5%.
	 */
	public static final double BURST_SECONDS = 2;

	/**
	 * Returns the burst size.
	 * @return tokens
	 */
	public double burstTokens() {
		return this.tokensPerSecond * BURST_SECONDS;
	}

}
