package io.bulrushrouter.routing;

/**
 * When an upstream is ejected and how it returns.
 *
 * @param failuresInRow failures in a row that eject
 * @param ejectionNanos the first ejection, in nanoseconds; each further one is twice as
 * long
 * @param longestNanos the longest ejection, in nanoseconds
 * @param returnNanos how long the return to full traffic takes, in nanoseconds
 * @param largestShare the largest part of a model's upstreams that may be ejected, 0 to 1
 */
public record EjectionSettings(int failuresInRow, long ejectionNanos, long longestNanos, long returnNanos,
		double largestShare) {

	/**
	 * Returns the usual settings: 5 failures, 2 s to 4 s, 4 s, a half.
	 * @return the settings
	 */
	public static EjectionSettings ofDefaults() {
		return new EjectionSettings(5, 2_000_000_000L, 4_000_000_000L, 4_000_000_000L, 0.5);
	}

}
