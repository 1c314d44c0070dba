package io.bulrushrouter.routing.admission;

/**
 * A count whose events lose weight exponentially with their age. Not thread-safe.
 */
final class DecayingCount {

	private final double timeConstantNanos;

	private double count;

	private long updatedNanos;

	DecayingCount(double timeConstantNanos, long nowNanos) {
		this.timeConstantNanos = timeConstantNanos;
		this.updatedNanos = nowNanos;
	}

	void add(double amount, long nowNanos) {
		this.count = value(nowNanos) + amount;
		this.updatedNanos = nowNanos;
	}

	double value(long nowNanos) {
		return this.count * Math.exp((this.updatedNanos - nowNanos) / this.timeConstantNanos);
	}

	/**
	 * Returns the rate of the counted events.
	 * @param nowNanos the current monotonic time, in nanoseconds
	 * @return the events per second
	 */
	double perSecond(long nowNanos) {
		return value(nowNanos) * 1e9 / this.timeConstantNanos;
	}

}
