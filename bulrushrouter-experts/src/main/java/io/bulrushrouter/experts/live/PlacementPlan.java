package io.bulrushrouter.experts.live;

/**
 * A candidate for the next expert map of a group.
 *
 * @param experts the experts of each rank, indexed by set and rank
 * @param copies the number of experts that all ranks together copy for the plan
 * @param maxCopiesPerRank the maximum number of experts that a single rank copies
 * @param skewBefore the load of the most loaded rank over the mean load on the map in
 * use, averaged over sets
 * @param skewAfter the same ratio on the new map
 */
public record PlacementPlan(int[][][] experts, int copies, int maxCopiesPerRank, double skewBefore, double skewAfter) {

	/**
	 * The fraction by which passes take longer while weights are copied, as documented by
	 * the engine.
	 */
	private static final double COPY_SLOWDOWN = 0.15;

	/**
	 * The time for which a plan is expected to match demand: topics change about as
	 * often.
	 */
	private static final double HORIZON_SECONDS = 4;

	/** The time from the plan to the switch, without the copying. */
	private static final double SWITCH_SECONDS = 0.3;

	/** The time span over which plans with different numbers of copies are compared. */
	private static final double COMPARISON_SECONDS = 2;

	/** The relative gain of skew below which a switch is not worth its orders. */
	private static final double MIN_RELATIVE_GAIN = 0.05;

	/**
	 * Returns whether the gain of the plan outweighs the cost of copying.
	 * @param secondsPerCopy the time that a rank needs to copy one expert, in seconds
	 * @param minGainPerCopy the minimum reduction of skew per copy
	 * @return whether the shorter passes save more time than the copying costs
	 */
	public boolean worthwhile(double secondsPerCopy, double minGainPerCopy) {
		if (this.skewBefore - this.skewAfter < minGainPerCopy * this.copies) {
			return false;
		}
		double gain = (this.skewBefore - this.skewAfter) / this.skewBefore;
		double cost = COPY_SLOWDOWN * this.maxCopiesPerRank * secondsPerCopy;
		return gain > MIN_RELATIVE_GAIN && gain * HORIZON_SECONDS > cost;
	}

	/**
	 * Returns the cost of the plan over the next seconds: the integral of the skew until
	 * the plan is in use and after. A plan with fewer copies is in use earlier, and
	 * further plans can follow it.
	 * @param secondsPerCopy the time that a rank needs to copy one expert, in seconds
	 * @return the integral of the skew over time, in seconds
	 */
	public double cost(double secondsPerCopy) {
		return cost(this.skewBefore, this.skewAfter, this.maxCopiesPerRank * secondsPerCopy);
	}

	/**
	 * Returns the cost of a plan over the next seconds, as {@link #cost(double)}.
	 * @param skewBefore the skew on the map in use
	 * @param skewAfter the skew on the new map
	 * @param copySeconds the time that the rank with the most copies needs for them, in
	 * seconds
	 * @return the integral of the skew over time, in seconds
	 */
	static double cost(double skewBefore, double skewAfter, double copySeconds) {
		double delay = Math.min(COMPARISON_SECONDS, SWITCH_SECONDS + copySeconds);
		return skewBefore * (delay + COPY_SLOWDOWN * copySeconds) + skewAfter * (COMPARISON_SECONDS - delay);
	}

}
