package io.bulrushrouter.coordination.lease;

import java.time.Duration;

/**
 * The times of a lease.
 *
 * @param duration how long an acquisition or renewal holds
 * @param renewalInterval the time between renewals
 * @param pollInterval the time between looks at a lease that another process holds
 * @param clockDriftMargin how much longer than the term a taker waits, for clocks that
 * run at different speeds
 */
public record LeaseTimings(Duration duration, Duration renewalInterval, Duration pollInterval,
		Duration clockDriftMargin) {

	/** The terms of the control duties. */
	public static final LeaseTimings CONTROL = new LeaseTimings(Duration.ofSeconds(15), Duration.ofSeconds(5),
			Duration.ofSeconds(5), Duration.ofSeconds(1));

	private static final int RETRIES_PER_RENEWAL = 5;

	/**
	 * Checks the parts.
	 */
	public LeaseTimings {
		if (renewalInterval.compareTo(duration) >= 0 || duration.isNegative() || clockDriftMargin.isNegative()) {
			throw new IllegalArgumentException("a lease must be renewed within its term");
		}
	}

	/**
	 * Returns the time before a refused write is sent again.
	 * @return a part of the renewal time
	 */
	public Duration retryDelay() {
		return this.renewalInterval.dividedBy(RETRIES_PER_RENEWAL);
	}

}
