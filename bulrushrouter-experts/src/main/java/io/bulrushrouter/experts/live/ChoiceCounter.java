package io.bulrushrouter.experts.live;

import java.util.Optional;

/**
 * Turns the cumulative counts of one rank into the choices since they were last read. Not
 * thread-safe.
 */
public final class ChoiceCounter {

	private long[] lastCounts;

	private long lastEpoch = -1;

	private long lastMillis;

	/**
	 * Returns the choices since the previous call.
	 * @param epoch the group's epoch
	 * @param counts the number of times each expert was chosen since the rank started, by
	 * set and expert, flattened
	 * @param nowMillis the current time, in milliseconds
	 * @return the choices, or empty if there are no earlier counts of this epoch
	 */
	public Optional<ChoiceSample> read(long epoch, long[] counts, long nowMillis) {
		long[] previous = this.lastCounts;
		boolean comparable = previous != null && epoch == this.lastEpoch && counts.length == previous.length;
		long spanMillis = nowMillis - this.lastMillis;
		this.lastCounts = counts;
		this.lastEpoch = epoch;
		this.lastMillis = nowMillis;
		if (!comparable) {
			return Optional.empty();
		}
		double[] choices = new double[counts.length];
		for (int index = 0; index < choices.length; index++) {
			// A restarted rank counts from zero.
			choices[index] = (counts[index] >= previous[index]) ? counts[index] - previous[index] : counts[index];
		}
		return Optional.of(new ChoiceSample(epoch, 1, spanMillis, choices));
	}

}
