package io.bulrushrouter.experts.live;

/**
 * The minimum reduction of skew that justifies copying an expert. It is proportional to
 * the copy time, which grows with the size of the expert. On a lightly loaded group,
 * longer passes still keep the pauses between tokens of a stream within their bound, so
 * the threshold is high; on a full group any shorter pass raises throughput, so it is
 * low.
 */
public final class CopyThreshold {

	/** The minimum gain of mean skew per second of copying on a nearly idle group. */
	private static final double IDLE_GAIN_PER_SECOND = 0.05;

	/** The minimum gain of mean skew per second of copying on a nearly full group. */
	private static final double FULL_GAIN_PER_SECOND = 0.0125;

	/** The occupancy up to which a group counts as nearly idle. */
	private static final double IDLE_OCCUPANCY = 0.35;

	/** The occupancy from which a group counts as nearly full. */
	private static final double FULL_OCCUPANCY = 0.75;

	private CopyThreshold() {
	}

	/**
	 * Returns the minimum gain that one copy must bring.
	 * @param occupancy the fraction of the group's request slots in use, from 0 to 1
	 * @param secondsPerCopy the time that a rank needs to copy one expert, in seconds
	 * @return the minimum reduction of the skew, as a mean over sets
	 */
	public static double minGain(double occupancy, double secondsPerCopy) {
		double fullness = (occupancy - IDLE_OCCUPANCY) / (FULL_OCCUPANCY - IDLE_OCCUPANCY);
		double clamped = Math.max(0, Math.min(1, fullness));
		return secondsPerCopy * (IDLE_GAIN_PER_SECOND + clamped * (FULL_GAIN_PER_SECOND - IDLE_GAIN_PER_SECOND));
	}

}
