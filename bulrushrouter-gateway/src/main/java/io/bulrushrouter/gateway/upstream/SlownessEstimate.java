package io.bulrushrouter.gateway.upstream;

import java.util.concurrent.TimeUnit;

/**
 * Estimates how much slower one upstream is than its service, as a logarithm, by a Kalman
 * filter whose state reverts to the service's mean. Its gain follows from the number and
 * age of answers, their noise and how much the upstreams of the service differ. Sums of
 * deviations in one direction (CUSUM) detect a sudden change. Not thread-safe.
 */
final class SlownessEstimate {

	/** Age at which an estimate without answers is dropped. */
	private static final long MAX_AGE_NANOS = TimeUnit.MINUTES.toNanos(2);

	/** Part of each deviation that is not counted toward a change, in deviations. */
	private static final double CHANGE_SLACK = 1;

	/** Sum of deviations that proves a change, in standard deviations. */
	private static final double CHANGE_SUM = 2.5;

	/**
	 * Upper bound of a single deviation in that sum, in standard deviations. A single
	 * answer that is 3.5 of them late proves a change.
	 */
	private static final double MAX_SURPRISE = 4;

	/** Variance of the estimate after a change, a factor of 5. */
	private static final double CHANGE_VARIANCE = 2.6;

	private double reversionNanos = Double.POSITIVE_INFINITY;

	private double value;

	private double variance;

	private double above;

	private double below;

	private long lastNanos;

	private boolean known;

	private double lastDeviation;

	private long measuredNanos;

	private boolean measured;

	/**
	 * Returns the estimate.
	 * @param nowNanos the current monotonic time, in nanoseconds
	 * @return the logarithm of the factor by which the upstream is slower; 0 if nothing
	 * is known
	 */
	double value(long nowNanos) {
		return (this.value != 0) ? this.value * reversion(nowNanos) : 0;
	}

	/**
	 * Returns the estimate with an answer that is still missing: its latency is at least
	 * the time that has passed.
	 * @param deviation the deviation if the answer arrived now
	 * @param reference what the upstreams of the service have in common
	 * @param nowNanos the current monotonic time, in nanoseconds
	 * @return the estimate, not less than without this answer
	 */
	double valueWithOpen(double deviation, LatencyReference reference, long nowNanos) {
		double current = value(nowNanos);
		if (deviation <= current) {
			return current;
		}
		double noise = reference.noise();
		boolean changed = this.above + surprise(deviation, current, noise) - CHANGE_SLACK >= CHANGE_SUM;
		double predicted = predictedVariance(reference, nowNanos);
		return current
				+ gain(changed ? Math.max(predicted, CHANGE_VARIANCE) : predicted, noise) * (deviation - current);
	}

	/**
	 * Adds an answer.
	 * @param deviation its deviation from the expected latency
	 * @param reference what the upstreams of the service have in common
	 * @param nowNanos the current monotonic time, in nanoseconds
	 */
	void add(double deviation, LatencyReference reference, long nowNanos) {
		double noise = reference.noise();
		this.reversionNanos = reference.reversionNanos();
		double predicted = predictedVariance(reference, nowNanos);
		this.value = value(nowNanos);
		double surprise = surprise(deviation, this.value, noise);
		this.above = Math.max(0, this.above + surprise - CHANGE_SLACK);
		this.below = Math.max(0, this.below - surprise - CHANGE_SLACK);
		if (Math.max(this.above, this.below) >= CHANGE_SUM) {
			predicted = Math.max(predicted, CHANGE_VARIANCE);
			this.above = 0;
			this.below = 0;
		}
		double gain = gain(predicted, noise);
		this.value += gain * (deviation - this.value);
		this.variance = predicted * (1 - gain);
		this.lastNanos = nowNanos;
		this.known = true;
	}

	/**
	 * Compares a measured answer with the one before.
	 * @param deviation its deviation from the expected latency
	 * @param reference what the upstreams of the service have in common
	 * @param nowNanos the current monotonic time, in nanoseconds
	 */
	void compare(double deviation, LatencyReference reference, long nowNanos) {
		long gapNanos = nowNanos - this.measuredNanos;
		if (this.measured) {
			reference.learnGap(gapNanos);
		}
		if (this.measured && gapNanos <= reference.reversionNanos() / 2) {
			reference.learnPair(this.lastDeviation, deviation);
		}
		this.lastDeviation = deviation;
		this.measuredNanos = nowNanos;
		this.measured = true;
	}

	private static double surprise(double deviation, double value, double noise) {
		return Math.max(-MAX_SURPRISE, Math.min(MAX_SURPRISE, (deviation - value) / Math.sqrt(noise)));
	}

	private static double gain(double variance, double noise) {
		return variance / (variance + noise);
	}

	private double predictedVariance(LatencyReference reference, long nowNanos) {
		double squared = this.known ? reversion(nowNanos) * reversion(nowNanos) : 0;
		return squared * this.variance + (1 - squared) * reference.spread();
	}

	private double reversion(long nowNanos) {
		long age = nowNanos - this.lastNanos;
		return (age < MAX_AGE_NANOS) ? Math.exp(-age / this.reversionNanos) : 0;
	}

	/**
	 * Returns whether recent answers were faster than the estimate says.
	 * @return whether they are evidence of a recovery
	 */
	boolean recovering() {
		return this.below > 0;
	}

	/**
	 * Returns whether the estimate is based on a recent answer.
	 * @param nowNanos the current monotonic time, in nanoseconds
	 * @param maxAgeNanos the maximum age of the answer, in nanoseconds
	 * @return whether there is one
	 */
	boolean answeredWithin(long maxAgeNanos, long nowNanos) {
		return this.known && nowNanos - this.lastNanos < maxAgeNanos;
	}

}
