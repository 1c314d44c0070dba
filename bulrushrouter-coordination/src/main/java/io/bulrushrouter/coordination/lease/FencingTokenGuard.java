package io.bulrushrouter.coordination.lease;

/**
 * Rejects fencing tokens that are lower than the highest one seen.
 */
public final class FencingTokenGuard {

	private FencingToken highest = FencingToken.NONE;

	private FencingTokenGuard() {
	}

	/**
	 * Creates a guard that has seen no token.
	 * @return the guard
	 */
	public static FencingTokenGuard of() {
		return new FencingTokenGuard();
	}

	/**
	 * Accepts a token unless it is stale, and remembers it as the highest.
	 * @param token the token
	 * @return whether the token is at least as high as every token seen before
	 */
	public boolean admit(FencingToken token) {
		if (token.isOlderThan(this.highest)) {
			return false;
		}
		this.highest = token;
		return true;
	}

	/**
	 * Returns the highest token seen.
	 * @return the token, {@link FencingToken#NONE} if none was seen
	 */
	public FencingToken highest() {
		return this.highest;
	}

}
