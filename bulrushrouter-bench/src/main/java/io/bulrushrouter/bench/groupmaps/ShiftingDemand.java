package io.bulrushrouter.bench.groupmaps;

import java.util.Arrays;
import java.util.SplittableRandom;

/**
 * Simulated demand for experts. Each prompt has a topic. A part of the choices of a
 * prompt follows a Zipf distribution that all topics share, the rest one of its topic; in
 * each layer set both are constant between shifts. At a shift, some experts swap their
 * popularity ranks.
 */
final class ShiftingDemand {

	private static final double SHIFTED_SHARE = 0.65;

	/** The share of a prompt's choices that does not depend on its topic. */
	private static final double COMMON_SHARE = 0.75;

	private static final int TOPICS = 9;

	/** The share of tokens that are generated; the others are read from prompts. */
	private static final double GENERATED_SHARE = 1.0 / 6;

	private final SplittableRandom random;

	private final double[][] common;

	private final double[][][] topics;

	ShiftingDemand(GroupParameters parameters, long seed) {
		this.random = new SplittableRandom(seed);
		this.common = distributions(parameters);
		this.topics = new double[TOPICS][][];
		Arrays.setAll(this.topics, (topic) -> distributions(parameters));
	}

	private double[][] distributions(GroupParameters parameters) {
		double[][] distributions = new double[parameters.layerSets()][parameters.experts()];
		double sum = 0;
		for (int rank = 1; rank <= parameters.experts(); rank++) {
			sum += Math.pow(rank, -parameters.skewExponent());
		}
		for (double[] set : distributions) {
			for (int rank = 1; rank <= set.length; rank++) {
				set[rank - 1] = Math.pow(rank, -parameters.skewExponent()) / sum;
			}
			swapRandomPairs(set, set.length * 4);
		}
		return distributions;
	}

	/**
	 * Shifts the demand by swapping the shares of some experts.
	 */
	void shift() {
		shift(this.common);
		for (double[][] topic : this.topics) {
			shift(topic);
		}
	}

	private void shift(double[][] distributions) {
		for (double[] set : distributions) {
			swapRandomPairs(set, (int) (SHIFTED_SHARE * set.length / 2));
		}
	}

	private void swapRandomPairs(double[] set, int swaps) {
		for (int swap = 0; swap < swaps; swap++) {
			int one = this.random.nextInt(set.length);
			int other = this.random.nextInt(set.length);
			double previous = set[one];
			set[one] = set[other];
			set[other] = previous;
		}
	}

	/**
	 * Returns the mean demand over all topics until the next shift.
	 * @return the share of each expert, by layer set and expert
	 */
	double[][] shares() {
		double[] weights = new double[TOPICS];
		Arrays.fill(weights, 1.0 / TOPICS);
		return shares(weights);
	}

	private double[][] shares(double[] topicWeights) {
		double[][] shares = new double[this.common.length][];
		for (int set = 0; set < shares.length; set++) {
			shares[set] = new double[this.common[set].length];
			for (int expert = 0; expert < shares[set].length; expert++) {
				double topical = 0;
				for (int topic = 0; topic < TOPICS; topic++) {
					topical += topicWeights[topic] * this.topics[topic][set][expert];
				}
				shares[set][expert] = COMMON_SHARE * this.common[set][expert] + (1 - COMMON_SHARE) * topical;
			}
		}
		return shares;
	}

	/**
	 * Returns the demand of one pass, whose prompts have random topics.
	 * @param meanPrompts the mean number of prompts that are read in a pass
	 * @return the share of each expert, by layer set and expert
	 */
	double[][] sharesOfPass(double meanPrompts) {
		double[] weights = new double[TOPICS];
		int prompts = poisson(meanPrompts);
		Arrays.fill(weights, ((prompts > 0) ? GENERATED_SHARE : 1) / TOPICS);
		for (int prompt = 0; prompt < prompts; prompt++) {
			weights[this.random.nextInt(TOPICS)] += (1 - GENERATED_SHARE) / prompts;
		}
		return shares(weights);
	}

	private int poisson(double mean) {
		int count = -1;
		for (double product = 1; product > Math.exp(-mean); product *= this.random.nextDouble()) {
			count++;
		}
		return count;
	}

	/**
	 * Adds expert choices to cumulative counts, with sampling noise.
	 * @param counts the counts by layer set and expert, flattened
	 * @param shares the share of each expert, by layer set and expert
	 * @param choices the number of expert choices in a layer set
	 */
	void choose(long[] counts, double[][] shares, int choices) {
		int index = 0;
		for (double[] set : shares) {
			for (double share : set) {
				double mean = share * choices;
				counts[index++] += Math.max(0, Math.round(mean + Math.sqrt(mean) * this.random.nextGaussian()));
			}
		}
	}

}
