package io.bulrushrouter.coordination.lease;

/**
 * Refuses fencing numbers that are lower than the highest one seen.
 */
public final class FencingTokenGuard {

	private FencingToken highest = FencingToken.NONE;

	private FencingTokenGuard() {
	}

	/**
	 * Returns a guard that has seen no number.
	 * @return the guard
	 */
	public static FencingTokenGuard of() {
		return new FencingTokenGuard();
	}

	/**
	 * Takes a number if it is not out of date.
	 * @param token the number
	 * @return whether the number is at least as high as each one seen before
	 */
	public boolean admit(FencingToken token) {
		if (token.isOlderThan(this.highest)) {
			return false;
		}
		this.highest = token;
		return true;
	}

	/**
	 * Returns the highest number seen.
	 * @return the number
	 */
	public FencingToken highest() {
		return this.highest;
	}

}
