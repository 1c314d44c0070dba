package io.bulrushrouter.bench.groupmaps;

import java.util.Arrays;
import java.util.SplittableRandom;

/**
 * The demand for experts: by Zipf's law in each set, steady between turns. At a turn a
 * part of the experts change places in the order.
 */
final class TurningDemand {

	private static final double TURNED_PART = 0.65;

	private final SplittableRandom random;

	private final double[][] shares;

	TurningDemand(GroupFigures figures, long seed) {
		this.random = new SplittableRandom(seed);
		this.shares = new double[figures.sets()][figures.experts()];
		double sum = 0;
		for (int place = 1; place <= figures.experts(); place++) {
			sum += Math.pow(place, -figures.skewExponent());
		}
		for (double[] set : this.shares) {
			for (int place = 1; place <= set.length; place++) {
				set[place - 1] = Math.pow(place, -figures.skewExponent()) / sum;
			}
			exchange(set, set.length * 4);
		}
	}

	/**
	 * Lets demand turn.
	 */
	void turn() {
		for (double[] set : this.shares) {
			exchange(set, (int) (TURNED_PART * set.length / 2));
		}
	}

	private void exchange(double[] set, int times) {
		for (int time = 0; time < times; time++) {
			int one = this.random.nextInt(set.length);
			int other = this.random.nextInt(set.length);
			double kept = set[one];
			set[one] = set[other];
			set[other] = kept;
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
