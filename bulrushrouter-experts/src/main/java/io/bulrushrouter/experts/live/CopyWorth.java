package io.bulrushrouter.experts.live;

/**
 * The gain of skew that a copied expert must bring to be worth its copying, which takes
 * the longer the larger the expert is. On a group with room to spare, longer passes still
 * keep the pauses of streams within their bound; on a full one, each part of a pass is
 * throughput.
 */
public final class CopyWorth {

	/** The gain of mean skew for a second of copying on a group that is nearly idle. */
	private static final double GAIN_WHEN_IDLE = 0.05;

	/** The gain of mean skew for a second of copying on a group that is nearly full. */
	private static final double GAIN_WHEN_FULL = 0.0125;

	/** Up to this part of its slots a group counts as nearly idle. */
	private static final double IDLE_OCCUPANCY = 0.35;

	/** From this part of its slots on a group counts as nearly full. */
	private static final double FULL_OCCUPANCY = 0.75;

	private CopyWorth() {
	}

	/**
	 * Returns the least gain for a copy.
	 * @param occupancy the part of the group's slots that are taken, 0 to 1
	 * @param secondsForCopy the time that a rank needs to copy one expert
	 * @return the gain of the skew's mean over sets
	 */
	public static double leastGain(double occupancy, double secondsForCopy) {
		double fullness = (occupancy - IDLE_OCCUPANCY) / (FULL_OCCUPANCY - IDLE_OCCUPANCY);
		double bounded = Math.max(0, Math.min(1, fullness));
		return secondsForCopy * (GAIN_WHEN_IDLE + bounded * (GAIN_WHEN_FULL - GAIN_WHEN_IDLE));
	}

}
