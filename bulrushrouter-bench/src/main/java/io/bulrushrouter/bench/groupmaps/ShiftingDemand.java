package io.bulrushrouter.bench.groupmaps;

import java.util.Arrays;
import java.util.SplittableRandom;

/**
 * The demand for experts: by Zipf's law in each set, steady between turns. At a turn a
 * part of the experts change places in the order.
 */
final class ShiftingDemand {

	private static final double SHIFTED_SHARE = 0.65;

	private final SplittableRandom random;

	private final double[][] shares;

	ShiftingDemand(GroupParameters figures, long seed) {
		this.random = new SplittableRandom(seed);
		this.shares = new double[figures.layerSets()][figures.experts()];
		double sum = 0;
		for (int place = 1; place <= figures.experts(); place++) {
			sum += Math.pow(place, -figures.skewExponent());
		}
		for (double[] set : this.shares) {
			for (int place = 1; place <= set.length; place++) {
				set[place - 1] = Math.pow(place, -figures.skewExponent()) / sum;
			}
			swapRandomPairs(set, set.length * 4);
		}
	}

	/**
	 * Lets demand turn.
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
	 * Returns the demand.
	 * @return the share of each expert, by set and expert
	 */
	double[][] shares() {
		return Arrays.stream(this.shares).map(double[]::clone).toArray(double[][]::new);
	}

	/**
	 * Adds the choices of a pass to running counts, with the noise of sampling.
	 * @param counts the counts by set and expert, flat
	 * @param choices the choices of a set
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
