package io.bulrushrouter.experts.live;

/**
 * Tracks the current demand for each expert from samples of choices. Demand decays
 * exponentially with age. Not thread-safe.
 */
public final class DemandTracker {

	/** The half-life of demand: the topics of requests change within seconds. */
	private static final double HALF_LIFE_MILLIS = 400;

	private final int sets;

	private final int experts;

	private final double[][] loads;

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
	 * Records the choices of some ranks. Samples with another number of experts are
	 * ignored.
	 * @param sample the choices
	 * @param nowMillis the current time, in milliseconds
	 */
	public void observe(ChoiceSample sample, long nowMillis) {
		double[] choices = sample.choices();
		if (choices.length != this.sets * this.experts) {
			return;
		}
		decay(nowMillis);
		double weight = meanWeight(sample.spanMillis());
		for (int index = 0; index < choices.length; index++) {
			this.loads[index / this.experts][index % this.experts] += weight * choices[index];
		}
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
