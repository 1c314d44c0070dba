package io.bulrushrouter.routing;

/**
 * When an upstream is ejected and how it returns.
 *
 * @param consecutiveFailures failures in a row that eject
 * @param baseEjectionNanos the first ejection, in nanoseconds; each further one is twice
 * as long
 * @param maxEjectionNanos the longest ejection, in nanoseconds
 * @param rampUpNanos how long the return to full traffic takes, in nanoseconds
 * @param maxEjectedFraction the largest part of a model's upstreams that may be ejected,
 * 0 to 1
 */
public record EjectionSettings(int consecutiveFailures, long baseEjectionNanos, long maxEjectionNanos, long rampUpNanos,
		double maxEjectedFraction) {

	/**
	 * Returns the usual settings: 5 failures, 2 s to 4 s, 4 s, a half.
	 * @return the settings
	 */
	public static EjectionSettings ofDefaults() {
		return new EjectionSettings(5, 2_000_000_000L, 4_000_000_000L, 4_000_000_000L, 0.5);
	}

}
