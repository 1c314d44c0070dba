package io.bulrushrouter.coordination.lease;

import java.time.Duration;

/**
 * The times of a lease.
 *
 * @param term how long an acquisition or renewal holds
 * @param renewal the time between renewals
 * @param poll the time between looks at a lease that another process holds
 * @param margin how much longer than the term a taker waits, for clocks that run at
 * different speeds
 */
public record LeaseTerms(Duration term, Duration renewal, Duration poll, Duration margin) {

	/** The terms of the control duties. */
	public static final LeaseTerms CONTROL = new LeaseTerms(Duration.ofSeconds(15), Duration.ofSeconds(5),
			Duration.ofSeconds(5), Duration.ofSeconds(1));

	private static final int RETRIES_PER_RENEWAL = 5;

	/**
	 * Checks the parts.
	 */
	public LeaseTerms {
		if (renewal.compareTo(term) >= 0 || term.isNegative() || margin.isNegative()) {
			throw new IllegalArgumentException("a lease must be renewed within its term");
		}
	}

	/**
	 * Returns the time before a refused write is sent again.
	 * @return a part of the renewal time
	 */
	public Duration retry() {
		return this.renewal.dividedBy(RETRIES_PER_RENEWAL);
	}

}
