package io.bulrushrouter.experts.live;

/**
 * A map that may follow the one in use.
 *
 * @param experts the experts by set and rank
 * @param copies the experts that all ranks copy for it
 * @param maxCopiesPerRank the experts that one rank copies at most
 * @param skewBefore the load of the most loaded rank over the mean on the map in use, as
 * a mean over sets
 * @param skewAfter the same on the new map
 */
public record PlacementPlan(int[][][] experts, int copies, int maxCopiesPerRank, double skewBefore, double skewAfter) {

	/**
	 * Passes take this much longer while weights are copied: the engines' published part.
	 */
	private static final double COPY_SLOWDOWN = 0.15;

	/** How long a plan is expected to fit demand; topics turn about as often. */
	private static final double HORIZON_SECONDS = 4;

	/** Time from the plan to the switch beside the copying. */
	private static final double SWITCH_SECONDS = 0.3;

	/** The time over which plans of more and of fewer copies are compared. */
	private static final double COMPARISON_SECONDS = 2;

	/** The gain of skew below which a switch is not worth its orders. */
	private static final double MIN_RELATIVE_GAIN = 0.05;

	/**
	 * Tells whether the map pays for its copies.
	 * @param secondsPerCopy the time that a rank needs to copy one expert
	 * @param minGainPerCopy the gain of skew that a copy must bring
	 * @return whether the passes that become shorter save more than the copying costs
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
	 * Returns what a plan costs in the next seconds: the skew before it is in use and
	 * after, over time. A plan of few copies is in use earlier, and others can follow it.
	 * @param secondsPerCopy the time that a rank needs to copy one expert
	 * @return the skew over time, in seconds
	 */
	public double cost(double secondsPerCopy) {
		double copying = this.maxCopiesPerRank * secondsPerCopy;
		double delay = Math.min(COMPARISON_SECONDS, SWITCH_SECONDS + copying);
		return this.skewBefore * (delay + COPY_SLOWDOWN * copying) + this.skewAfter * (COMPARISON_SECONDS - delay);
	}

}
