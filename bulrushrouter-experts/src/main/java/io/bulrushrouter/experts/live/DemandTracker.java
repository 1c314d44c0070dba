package io.bulrushrouter.experts.live;

import java.util.HashMap;
import java.util.Map;

/**
 * Tracks the current demand for each expert from the cumulative counts of all ranks.
 * Demand decays exponentially with age. Not thread-safe.
 */
public final class DemandTracker {

	/** The half-life of demand: the topics of requests change within seconds. */
	private static final double HALF_LIFE_MILLIS = 400;

	private final int sets;

	private final int experts;

	private final double[][] loads;

	private final Map<Integer, long[]> lastCounts = new HashMap<>();

	private long epoch = -1;

	private long decayedToMillis;

	/**
	 * Creates a tracker without observed demand.
	 * @param sets the number of layer sets
	 * @param experts the number of experts per set
	 */
	public DemandTracker(int sets, int experts) {
		this.sets = sets;
		this.experts = experts;
		this.loads = new double[sets][experts];
	}

	/**
	 * Records the cumulative counts of one rank. Counts of the wrong length are ignored.
	 * @param epoch the group's epoch
	 * @param rank the index of the rank
	 * @param counts the number of times each expert was chosen since the rank started, by
	 * set and expert
	 * @param nowMillis the current time, in milliseconds
	 */
	public void observe(long epoch, int rank, long[] counts, long nowMillis) {
		if (counts.length != this.sets * this.experts) {
			return;
		}
		if (epoch != this.epoch) {
			this.epoch = epoch;
			this.lastCounts.clear();
		}
		decay(nowMillis);
		long[] previous = this.lastCounts.put(rank, counts);
		if (previous == null) {
			return;
		}
		for (int index = 0; index < counts.length; index++) {
			// A restarted rank counts from zero.
			long chosen = (counts[index] >= previous[index]) ? counts[index] - previous[index] : counts[index];
			this.loads[index / this.experts][index % this.experts] += chosen;
		}
	}

	private void decay(long nowMillis) {
		if (nowMillis <= this.decayedToMillis) {
			return;
		}
		double factor = Math.pow(0.5, (nowMillis - this.decayedToMillis) / HALF_LIFE_MILLIS);
		this.decayedToMillis = nowMillis;
		for (double[] set : this.loads) {
			for (int expert = 0; expert < set.length; expert++) {
				set[expert] *= factor;
			}
		}
	}

	/**
	 * Returns the current demand.
	 * @return the number of choices, weighted by age, by set and expert; a copy
	 */
	public double[][] loads() {
		double[][] copy = new double[this.sets][];
		for (int set = 0; set < this.sets; set++) {
			copy[set] = this.loads[set].clone();
		}
		return copy;
	}

	/**
	 * Returns the total number of choices, weighted by age, that the demand is based on.
	 * @return the total of the first set
	 */
	public double totalChoices() {
		double total = 0;
		for (double load : this.loads[0]) {
			total += load;
		}
		return total;
	}

}
