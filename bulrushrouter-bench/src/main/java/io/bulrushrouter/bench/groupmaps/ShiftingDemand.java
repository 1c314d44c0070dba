package io.bulrushrouter.bench.groupmaps;

import java.util.Arrays;
import java.util.SplittableRandom;

/**
 * Simulated demand for experts. It follows a Zipf distribution in each layer set and is
 * constant between shifts. At a shift, some experts swap their popularity ranks.
 */
final class ShiftingDemand {

	private static final double SHIFTED_SHARE = 0.65;

	private final SplittableRandom random;

	private final double[][] shares;

	ShiftingDemand(GroupParameters parameters, long seed) {
		this.random = new SplittableRandom(seed);
		this.shares = new double[parameters.layerSets()][parameters.experts()];
		double sum = 0;
		for (int rank = 1; rank <= parameters.experts(); rank++) {
			sum += Math.pow(rank, -parameters.skewExponent());
		}
		for (double[] set : this.shares) {
			for (int rank = 1; rank <= set.length; rank++) {
				set[rank - 1] = Math.pow(rank, -parameters.skewExponent()) / sum;
			}
			swapRandomPairs(set, set.length * 4);
		}
	}

	/**
	 * Shifts the demand by swapping the shares of some experts.
	 */
	void shift() {
		for (double[] set : this.shares) {
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
	 * Returns the current demand.
	 * @return the share of each expert, by layer set and expert
	 */
	double[][] shares() {
		return Arrays.stream(this.shares).map(double[]::clone).toArray(double[][]::new);
	}

	/**
	 * Adds the expert choices of a pass to cumulative counts, with sampling noise.
	 * @param counts the counts by layer set and expert, flattened
	 * @param choices the number of expert choices in a layer set
	 */
	void choose(long[] counts, int choices) {
		int index = 0;
		for (double[] set : this.shares) {
			for (double share : set) {
				double mean = share * choices;
				counts[index++] += Math.max(0, Math.round(mean + Math.sqrt(mean) * this.random.nextGaussian()));
			}
		}
	}

}
