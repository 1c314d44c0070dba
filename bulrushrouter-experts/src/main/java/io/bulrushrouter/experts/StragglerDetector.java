package io.bulrushrouter.experts;

import java.util.Arrays;

/**
 * Finds slow ranks from the times that the ranks need for their own part of a step,
 * without the wait for others. Each rank's time a token is compared with the group's
 * median; a two-sided cumulative sum (Page, "Continuous inspection schemes", 1954) of the
 * difference, in units of the group's noise, tells a change of speed from noise. Confined
 * to one thread.
 */
public final class StragglerDetector {

	/** A rank below this speed is a straggler. */
	public static final double STRAGGLER_SPEED = 0.9;

	private static final double CUSUM_SLACK = 1.0;

	private static final double CUSUM_THRESHOLD = 12;

	private static final double SMOOTHING_FACTOR = 0.1;

	private static final double MIN_NOISE = 0.01;

	private static final double MAX_DEVIATION = 6;

	private static final double MISSING = -1;

	private static final double MAD_TO_STANDARD_DEVIATION = 1.4826;

	private final double[] speed;

	private final double[] recentSpeed;

	private final double[] slowerSum;

	private final double[] fasterSum;

	private final long[] slowSinceNanos;

	private double noise = MIN_NOISE;

	private StragglerDetector(int ranks) {
		this.speed = new double[ranks];
		this.recentSpeed = new double[ranks];
		this.slowerSum = new double[ranks];
		this.fasterSum = new double[ranks];
		this.slowSinceNanos = new long[ranks];
		Arrays.fill(this.speed, 1);
		Arrays.fill(this.recentSpeed, 1);
	}

	/**
	 * Returns a detector that takes all ranks for equally fast.
	 * @param ranks the number of ranks
	 * @return the detector
	 */
	public static StragglerDetector of(int ranks) {
		return new StragglerDetector(ranks);
	}

	/**
	 * Takes the times of one step.
	 * @param nowNanos the time
	 * @param nanosPerToken the time of each rank for its part of the step over the tokens
	 * it was given, in nanoseconds; 0 where the report is missing
	 */
	public void observe(long nowNanos, double[] nanosPerToken) {
		double median = median(nanosPerToken, Double.MIN_VALUE);
		if (median <= 0) {
			return;
		}
		double[] speeds = new double[nanosPerToken.length];
		double[] deviations = new double[nanosPerToken.length];
		for (int rank = 0; rank < speeds.length; rank++) {
			speeds[rank] = (nanosPerToken[rank] > 0) ? median / nanosPerToken[rank] : 0;
			deviations[rank] = (speeds[rank] > 0) ? Math.abs(speeds[rank] - this.speed[rank]) : MISSING;
		}
		double spread = Math.max(MIN_NOISE, MAD_TO_STANDARD_DEVIATION * median(deviations, 0));
		this.noise += SMOOTHING_FACTOR * (spread - this.noise);
		for (int rank = 0; rank < speeds.length; rank++) {
			if (speeds[rank] > 0) {
				observe(rank, speeds[rank], nowNanos);
			}
		}
	}

	private void observe(int rank, double measured, long nowNanos) {
		this.recentSpeed[rank] += SMOOTHING_FACTOR * (measured - this.recentSpeed[rank]);
		double deviation = (measured - this.speed[rank]) / this.noise;
		double clamped = Math.max(-MAX_DEVIATION, Math.min(MAX_DEVIATION, deviation));
		this.slowerSum[rank] = Math.max(0, this.slowerSum[rank] - clamped - CUSUM_SLACK);
		this.fasterSum[rank] = Math.max(0, this.fasterSum[rank] + clamped - CUSUM_SLACK);
		if (this.slowerSum[rank] > CUSUM_THRESHOLD || this.fasterSum[rank] > CUSUM_THRESHOLD) {
			adoptRecentSpeed(rank, nowNanos);
		}
	}

	private void adoptRecentSpeed(int rank, long nowNanos) {
		boolean wasSlow = this.speed[rank] < STRAGGLER_SPEED;
		this.speed[rank] = this.recentSpeed[rank];
		this.slowerSum[rank] = 0;
		this.fasterSum[rank] = 0;
		if (!wasSlow && this.speed[rank] < STRAGGLER_SPEED) {
			this.slowSinceNanos[rank] = nowNanos;
		}
	}

	/**
	 * Returns the speed of each rank, 1 for one as fast as the median.
	 * @return a copy
	 */
	public double[] speeds() {
		return this.speed.clone();
	}

	/**
	 * Returns what is to be done about a rank.
	 * @param rank the rank
	 * @param nowNanos the time
	 * @param moveAfterNanos how long a rank is slow before experts are moved
	 * @param replaceAfterNanos how long a rank is slow before its replacement is asked
	 * for
	 * @return the furthest answer that is due
	 */
	public StragglerAction action(int rank, long nowNanos, long moveAfterNanos, long replaceAfterNanos) {
		if (this.speed[rank] >= STRAGGLER_SPEED) {
			return StragglerAction.NONE;
		}
		long slowFor = nowNanos - this.slowSinceNanos[rank];
		if (slowFor >= replaceAfterNanos) {
			return StragglerAction.REQUEST_REPLACEMENT;
		}
		return (slowFor >= moveAfterNanos) ? StragglerAction.MOVE_EXPERTS : StragglerAction.REDUCE_SHARE;
	}

	/**
	 * Returns how much longer a step of the group takes than one with all ranks at full
	 * speed and equal load. The choice of upstream multiplies the group's cost by it.
	 * @param skew the group's skew, slowest rank over mean
	 * @return the factor, at least 1
	 */
	public double slowdown(double skew) {
		double capacity = Arrays.stream(this.speed).map((value) -> Math.min(1, value)).sum() / this.speed.length;
		return Math.max(1, skew / capacity);
	}

	private static double median(double[] values, double min) {
		double[] present = Arrays.stream(values).filter((value) -> value >= min).sorted().toArray();
		return (present.length == 0) ? 0 : present[present.length / 2];
	}

}
