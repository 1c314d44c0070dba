package io.bulrushrouter.experts.live;

import java.util.HashMap;
import java.util.Map;

/**
 * How much each expert is in demand now, from the running counts of all ranks; older
 * demand counts less. Not thread-safe.
 */
public final class DemandTracker {

	/** The age at which demand counts half: topics turn within seconds. */
	private static final double HALF_LIFE_MILLIS = 400;

	private final int sets;

	private final int experts;

	private final double[][] loads;

	private final Map<Integer, long[]> lastCounts = new HashMap<>();

	private long epoch = -1;

	private long decayedToMillis;

	/**
	 * Creates a tracker without demand.
	 * @param sets the sets of layers
	 * @param experts the experts of a set
	 */
	public DemandTracker(int sets, int experts) {
		this.sets = sets;
		this.experts = experts;
		this.loads = new double[sets][experts];
	}

	/**
	 * Takes the running counts of one rank.
	 * @param epoch the group's epoch
	 * @param rank the rank
	 * @param counts how often each expert was chosen since the rank started, by set and
	 * expert
	 * @param nowMillis the time
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
			// A rank that started again counts from zero.
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
	 * Returns the demand.
	 * @return by set and expert, in choices
	 */
	public double[][] loads() {
		double[][] copy = new double[this.sets][];
		for (int set = 0; set < this.sets; set++) {
			copy[set] = this.loads[set].clone();
		}
		return copy;
	}

	/**
	 * Returns the choices that the demand rests on.
	 * @return the number of the first set
	 */
	public double totalChoices() {
		double total = 0;
		for (double load : this.loads[0]) {
			total += load;
		}
		return total;
	}

}
