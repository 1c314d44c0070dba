package io.bulrushrouter.experts.live;

import java.util.Arrays;
import java.util.List;

/**
 * Tracks the current demand for each expert from samples of choices. Demand decays
 * exponentially with age, and at once when it has changed: when a sample differs from the
 * demand so far by clearly more than two halves of the sample differ from each other. In
 * a group of few ranks, whose samples hold few prompts, the halves differ much, so that
 * chance is not taken for a change. Not thread-safe.
 */
public final class DemandTracker {

	/** The half-life of demand: the topics of requests change within seconds. */
	private static final double HALF_LIFE_MILLIS = 400;

	/**
	 * The minimum difference between a sample and the demand that counts as a change, as
	 * the sum of the differences of shares. Prompts of other topics differ by less.
	 */
	private static final double MIN_CHANGE = 0.2;

	/** How much more a sample differs after a change than its halves by chance. */
	private static final double CHANGE_TO_NOISE_RATIO = 1.5;

	/** The weight of the newest sample in the moving average of the noise. */
	private static final double NOISE_WEIGHT = 0.2;

	/** The weight that earlier demand keeps after a change. */
	private static final double KEPT_AFTER_CHANGE = 0.05;

	private final int sets;

	private final int experts;

	private final double[][] loads;

	private long decayedToMillis;

	/** The moving average of the difference between the halves of a sample. */
	private double meanNoise = -1;

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
	 * Records one collection of choices. Samples with another number of experts are
	 * ignored.
	 * @param parts the samples of the collection, each of other ranks
	 * @param nowMillis the current time, in milliseconds
	 */
	public void observe(List<ChoiceSample> parts, long nowMillis) {
		decay(nowMillis);
		double[][] halves = new double[2][this.sets * this.experts];
		int used = 0;
		for (ChoiceSample part : parts) {
			if (part.choices().length == this.sets * this.experts) {
				add(part, halves[used++ % 2]);
			}
		}
		double[] all = new double[this.sets * this.experts];
		Arrays.setAll(all, (index) -> halves[0][index] + halves[1][index]);
		if (changed(halves, all)) {
			multiply(KEPT_AFTER_CHANGE);
		}
		for (int index = 0; index < all.length; index++) {
			this.loads[index / this.experts][index % this.experts] += all[index];
		}
	}

	private static void add(ChoiceSample sample, double[] sum) {
		double weight = meanWeight(sample.spanMillis());
		for (int index = 0; index < sum.length; index++) {
			sum[index] += weight * sample.choices()[index];
		}
	}

	private boolean changed(double[][] halves, double[] all) {
		double noise = 0;
		double difference = 0;
		for (int set = 0; set < this.sets; set++) {
			double[] one = shares(halves[0], set);
			double[] other = shares(halves[1], set);
			double[] before = shares(this.loads[set], 0);
			if (one.length == 0 || other.length == 0 || before.length == 0) {
				return false;
			}
			double[] now = shares(all, set);
			for (int expert = 0; expert < this.experts; expert++) {
				noise += Math.abs(one[expert] - other[expert]);
				difference += Math.abs(now[expert] - before[expert]);
			}
		}
		// The halves of a sample of few prompts may agree by chance.
		this.meanNoise = (this.meanNoise < 0) ? noise : this.meanNoise + NOISE_WEIGHT * (noise - this.meanNoise);
		return difference > this.sets * MIN_CHANGE
				&& difference > CHANGE_TO_NOISE_RATIO * Math.max(noise, this.meanNoise);
	}

	// Returns the shares of the experts of a set, or an empty array if none was chosen.
	private double[] shares(double[] choices, int set) {
		double[] shares = Arrays.copyOfRange(choices, set * this.experts, (set + 1) * this.experts);
		double sum = Arrays.stream(shares).sum();
		if (sum <= 0) {
			return new double[0];
		}
		for (int expert = 0; expert < shares.length; expert++) {
			shares[expert] /= sum;
		}
		return shares;
	}

	// The mean weight by age of choices that were made at an even rate in a span of time
	// that ends now.
	private static double meanWeight(long spanMillis) {
		if (spanMillis <= 0) {
			return 1;
		}
		double halfLives = spanMillis / HALF_LIFE_MILLIS;
		return (1 - Math.pow(0.5, halfLives)) / (halfLives * Math.log(2));
	}

	private void decay(long nowMillis) {
		if (nowMillis <= this.decayedToMillis) {
			return;
		}
		double factor = Math.pow(0.5, (nowMillis - this.decayedToMillis) / HALF_LIFE_MILLIS);
		this.decayedToMillis = nowMillis;
		multiply(factor);
	}

	private void multiply(double factor) {
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
