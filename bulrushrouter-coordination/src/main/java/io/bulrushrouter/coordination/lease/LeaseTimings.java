package io.bulrushrouter.coordination.lease;

import java.time.Duration;

/**
 * The durations and intervals of a lease.
 *
 * @param duration how long the lease is valid after an acquisition or renewal
 * @param renewalInterval the time between renewals
 * @param pollInterval the time between reads of a lease that another process holds
 * @param clockDriftMargin how much longer than the duration a process waits before it
 * takes over a lease that was not renewed, since clocks may run at different speeds
 */
public record LeaseTimings(Duration duration, Duration renewalInterval, Duration pollInterval,
		Duration clockDriftMargin) {

	/** The timings of the control duties. */
	public static final LeaseTimings CONTROL = new LeaseTimings(Duration.ofSeconds(15), Duration.ofSeconds(5),
			Duration.ofSeconds(5), Duration.ofSeconds(1));

	private static final int RETRIES_PER_RENEWAL = 5;

	/**
	 * Validates the components.
	 */
	public LeaseTimings {
		if (renewalInterval.compareTo(duration) >= 0 || duration.isNegative() || clockDriftMargin.isNegative()) {
			throw new IllegalArgumentException("the renewal interval must be shorter than the lease duration, "
					+ "and the duration and the clock drift margin must not be negative");
		}
	}

	/**
	 * Returns the delay before a refused write is retried.
	 * @return a fraction of the renewal interval
	 */
	public Duration retryDelay() {
		return this.renewalInterval.dividedBy(RETRIES_PER_RENEWAL);
	}

}
