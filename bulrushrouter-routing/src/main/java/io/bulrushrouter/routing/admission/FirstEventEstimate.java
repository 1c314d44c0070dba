package io.bulrushrouter.routing.admission;

/**
 * Estimates the time from the start of a stream to its first event by a moving average
 * and the mean deviation from it, as TCP estimates round-trip times. Not thread-safe.
 */
public final class FirstEventEstimate {

	/** Weight of the newest sample in the mean. */
	private static final double MEAN_WEIGHT = 0.125;

	/** Weight of the newest sample in the mean deviation. */
	private static final double DEVIATION_WEIGHT = 0.25;

	/** Deviations that are added to the mean for a time that few streams exceed. */
	private static final double MARGIN_DEVIATIONS = 1.5;

	private double meanMillis;

	private double deviationMillis;

	private boolean known;

	/**
	 * Records a first event.
	 * @param millis the time since the stream was started, in milliseconds
	 */
	public void record(double millis) {
		if (!this.known) {
			this.known = true;
			this.meanMillis = millis;
			this.deviationMillis = millis / 4;
			return;
		}
		double difference = millis - this.meanMillis;
		this.meanMillis += MEAN_WEIGHT * difference;
		this.deviationMillis += DEVIATION_WEIGHT * (Math.abs(difference) - this.deviationMillis);
	}

	/**
	 * Returns a time within which most streams have their first event.
	 * @param unknownMillis what is assumed before any first event, in milliseconds
	 * @return the time in milliseconds
	 */
	public double safeMillis(double unknownMillis) {
		return this.known ? this.meanMillis + MARGIN_DEVIATIONS * this.deviationMillis : unknownMillis;
	}

}
