package io.bulrushrouter.coordination.lease;

/**
 * Refuses fencing numbers that are lower than the highest one seen.
 */
public final class FenceGuard {

	private FencingNumber highest = FencingNumber.NONE;

	private FenceGuard() {
	}

	/**
	 * Returns a guard that has seen no number.
	 * @return the guard
	 */
	public static FenceGuard of() {
		return new FenceGuard();
	}

	/**
	 * Takes a number if it is not out of date.
	 * @param fence the number
	 * @return whether the number is at least as high as each one seen before
	 */
	public boolean admit(FencingNumber fence) {
		if (fence.isOlderThan(this.highest)) {
			return false;
		}
		this.highest = fence;
		return true;
	}

	/**
	 * Returns the highest number seen.
	 * @return the number
	 */
	public FencingNumber highest() {
		return this.highest;
	}

}
