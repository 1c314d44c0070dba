package io.bulrushrouter.experts;

import java.util.Arrays;

/**
 * Detects slow ranks from the time that each rank computes in a step, excluding the wait
 * for other ranks. The time per token of a rank is compared with the median of the group;
 * a two-sided cumulative sum (Page, "Continuous inspection schemes", 1954) of the
 * difference, in units of the group's noise, distinguishes a change of speed from noise.
 * Not thread-safe.
 */
public final class StragglerDetector {

	/** The speed, relative to the median, below which a rank is a straggler. */
	public static final double STRAGGLER_SPEED = 0.9;

	private static final double CUSUM_SLACK = 1.0;

	private static final double CUSUM_THRESHOLD = 12;

	private static final double SMOOTHING_FACTOR = 0.1;

	private static final double MIN_NOISE = 0.01;

	/** The maximum deviation of one step that counts, in units of noise. */
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
	 * Creates a detector that initially assumes equal speed of all ranks.
	 * @param ranks the number of ranks
	 * @return the detector
	 */
	public static StragglerDetector of(int ranks) {
		return new StragglerDetector(ranks);
	}

	/**
	 * Records the times of one step.
	 * @param nowNanos the current time, in nanoseconds
	 * @param nanosPerToken the compute time of each rank in the step divided by its
	 * number of tokens, in nanoseconds; 0 where the report is missing
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
	 * Returns the speed of each rank, relative to the median.
	 * @return the speeds, by rank; a copy
	 */
	public double[] speeds() {
		return this.speed.clone();
	}

	/**
	 * Returns the action that is due for a rank.
	 * @param rank the rank, from 0
	 * @param nowNanos the current time, in nanoseconds
	 * @param moveAfterNanos the time for which a rank is slow before its experts are
	 * moved, in nanoseconds
	 * @param replaceAfterNanos the time for which a rank is slow before its replacement
	 * is requested, in nanoseconds
	 * @return the highest action that is due
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
	 * Returns the factor by which a step of the group takes longer than one with all
	 * ranks at full speed and equal load. The choice of upstream multiplies the cost of
	 * the group by it.
	 * @param skew the skew of the group, the time of the slowest rank over the mean
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
