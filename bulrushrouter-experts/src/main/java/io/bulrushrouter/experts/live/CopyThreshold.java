package io.bulrushrouter.experts.live;

/**
 * The gain of skew that a copied expert must bring to be worth its copying, which takes
 * the longer the larger the expert is. On a group with room to spare, longer passes still
 * keep the pauses of streams within their bound; on a full one, each part of a pass is
 * throughput.
 */
public final class CopyThreshold {

	/** The gain of mean skew for a second of copying on a group that is nearly idle. */
	private static final double IDLE_GAIN_PER_SECOND = 0.05;

	/** The gain of mean skew for a second of copying on a group that is nearly full. */
	private static final double FULL_GAIN_PER_SECOND = 0.0125;

	/** Up to this part of its slots a group counts as nearly idle. */
	private static final double IDLE_OCCUPANCY = 0.35;

	/** From this part of its slots on a group counts as nearly full. */
	private static final double FULL_OCCUPANCY = 0.75;

	private CopyThreshold() {
	}

	/**
	 * Returns the least gain for a copy.
	 * @param occupancy the part of the group's slots that are taken, 0 to 1
	 * @param secondsPerCopy the time that a rank needs to copy one expert
	 * @return the gain of the skew's mean over sets
	 */
	public static double minGain(double occupancy, double secondsPerCopy) {
		double fullness = (occupancy - IDLE_OCCUPANCY) / (FULL_OCCUPANCY - IDLE_OCCUPANCY);
		double clamped = Math.max(0, Math.min(1, fullness));
		return secondsPerCopy * (IDLE_GAIN_PER_SECOND + clamped * (FULL_GAIN_PER_SECOND - IDLE_GAIN_PER_SECOND));
	}

}
