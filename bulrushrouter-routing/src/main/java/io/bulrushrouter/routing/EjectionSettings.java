package io.bulrushrouter.routing;

/**
 * Settings of {@link OutlierEjection}.
 *
 * @param consecutiveFailures consecutive failures after which an upstream is ejected
 * @param baseEjectionNanos the length of the first ejection, in nanoseconds; each further
 * one is twice as long
 * @param maxEjectionNanos the upper bound of an ejection's length, in nanoseconds
 * @param rampUpNanos the time over which traffic rises to its full share after an
 * ejection, in nanoseconds
 * @param maxEjectedFraction the largest part of a model's upstreams that may be ejected
 * at a time, 0 to 1
 */
public record EjectionSettings(int consecutiveFailures, long baseEjectionNanos, long maxEjectionNanos, long rampUpNanos,
		double maxEjectedFraction) {

	/**
	 * Returns the default settings: ejection after 5 failures for 2 s, at most 4 s, a
	 * ramp-up of 4 s, and at most half of a model's upstreams ejected.
	 * @return the settings
	 */
	public static EjectionSettings ofDefaults() {
		return new EjectionSettings(5, 2_000_000_000L, 4_000_000_000L, 4_000_000_000L, 0.5);
	}

}
