package io.bulrushrouter.routing;

/**
 * A limit of an organisation for a model.
 *
 * @param tokensPerSecond tokens a second over all entries, above 0
 */
public record Limit(double tokensPerSecond) {

	/**
	 * Tokens that may be used at once, in seconds of the limit. Together with
	 * {@link QuotaAllocator#GRANT_TTL_NANOS} this is 5% of a minute.
	 */
	public static final double BURST_SECONDS = 2;

	/**
	 * Returns the tokens that may be used at once.
	 * @return tokens
	 */
	public double burstTokens() {
		return this.tokensPerSecond * BURST_SECONDS;
	}

}
