package io.bulrushrouter.experts;

import java.util.Arrays;

/**
 * Finds slow ranks from the times that the ranks need for their own part of a step,
 * without the wait for others. Each rank's time a token is compared with the group's
 * median; a two-sided cumulative sum (Page, "Continuous inspection schemes", 1954) of the
 * difference, in units of the group's noise, tells a change of speed from noise. Confined
 * to one thread.
 */
public final class Stragglers {

	/** A rank below this speed is a straggler. */
	public static final double SLOW_SPEED = 0.9;

	private static final double SLACK = 1.0;

	private static final double ALARM = 12;

	private static final double WEIGHT = 0.1;

	private static final double LEAST_NOISE = 0.01;

	private static final double MOST_STEP = 6;

	private static final double MISSING = -1;

	private static final double MAD_TO_DEVIATION = 1.4826;

	private final double[] speed;

	private final double[] recent;

	private final double[] slower;

	private final double[] faster;

	private final long[] slowSinceNanos;

	private double noise = LEAST_NOISE;

	private Stragglers(int ranks) {
		this.speed = new double[ranks];
		this.recent = new double[ranks];
		this.slower = new double[ranks];
		this.faster = new double[ranks];
		this.slowSinceNanos = new long[ranks];
		Arrays.fill(this.speed, 1);
		Arrays.fill(this.recent, 1);
	}

	/**
	 * Returns a detector that takes all ranks for equally fast.
	 * @param ranks the number of ranks
	 * @return the detector
	 */
	public static Stragglers of(int ranks) {
		return new Stragglers(ranks);
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
		double spread = Math.max(LEAST_NOISE, MAD_TO_DEVIATION * median(deviations, 0));
		this.noise += WEIGHT * (spread - this.noise);
		for (int rank = 0; rank < speeds.length; rank++) {
			if (speeds[rank] > 0) {
				observe(rank, speeds[rank], nowNanos);
			}
		}
	}

	private void observe(int rank, double measured, long nowNanos) {
		this.recent[rank] += WEIGHT * (measured - this.recent[rank]);
		double units = (measured - this.speed[rank]) / this.noise;
		double bounded = Math.max(-MOST_STEP, Math.min(MOST_STEP, units));
		this.slower[rank] = Math.max(0, this.slower[rank] - bounded - SLACK);
		this.faster[rank] = Math.max(0, this.faster[rank] + bounded - SLACK);
		if (this.slower[rank] > ALARM || this.faster[rank] > ALARM) {
			adopt(rank, nowNanos);
		}
	}

	private void adopt(int rank, long nowNanos) {
		boolean wasSlow = this.speed[rank] < SLOW_SPEED;
		this.speed[rank] = this.recent[rank];
		this.slower[rank] = 0;
		this.faster[rank] = 0;
		if (!wasSlow && this.speed[rank] < SLOW_SPEED) {
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
	public StragglerAnswer answer(int rank, long nowNanos, long moveAfterNanos, long replaceAfterNanos) {
		if (this.speed[rank] >= SLOW_SPEED) {
			return StragglerAnswer.NONE;
		}
		long slowFor = nowNanos - this.slowSinceNanos[rank];
		if (slowFor >= replaceAfterNanos) {
			return StragglerAnswer.ASK_REPLACEMENT;
		}
		return (slowFor >= moveAfterNanos) ? StragglerAnswer.MOVE_EXPERTS : StragglerAnswer.FEWER_TOKENS;
	}

	/**
	 * Returns how much longer a step of the group takes than one with all ranks at full
	 * speed and equal load. The choice of upstream multiplies the group's cost by it.
	 * @param skew the group's skew, slowest rank over mean
	 * @return the factor, at least 1
	 */
	public double slowness(double skew) {
		double capacity = Arrays.stream(this.speed).map((value) -> Math.min(1, value)).sum() / this.speed.length;
		return Math.max(1, skew / capacity);
	}

	private static double median(double[] values, double least) {
		double[] known = Arrays.stream(values).filter((value) -> value >= least).sorted().toArray();
		return (known.length == 0) ? 0 : known[known.length / 2];
	}

}
