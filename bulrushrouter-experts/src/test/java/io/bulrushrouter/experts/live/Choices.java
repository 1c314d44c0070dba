package io.bulrushrouter.experts.live;

import java.util.Arrays;
import java.util.random.RandomGenerator;

/**
 * What happens at each point of a run where several things may. The first is the usual
 * one; all others are deviations.
 */
interface Choices {

	/**
	 * Chooses.
	 * @param optionCount the number of things that may happen
	 * @return the thing, from 0
	 */
	int next(int optionCount);

	static Choices ofRandom(RandomGenerator random, double deviationProbability) {
		return (optionCount) -> (random.nextDouble() < deviationProbability) ? random.nextInt(optionCount) : 0;
	}

	/**
	 * Deviates at given points.
	 */
	final class Scripted implements Choices {

		private final int[] points;

		private final int[] options;

		private int position;

		private int nextDeviation;

		private final int[] optionCounts;

		Scripted(int[] points, int[] options, int length) {
			this.points = points;
			this.options = options;
			this.optionCounts = new int[length];
		}

		@Override
		public int next(int optionCount) {
			int point = this.position++;
			if (point < this.optionCounts.length) {
				this.optionCounts[point] = optionCount;
			}
			if (this.nextDeviation < this.points.length && this.points[this.nextDeviation] == point) {
				return Math.min(this.options[this.nextDeviation++], optionCount - 1);
			}
			return 0;
		}

		/**
		 * Returns how many things could happen at each point of the run.
		 * @return the numbers, 0 beyond the end of the run
		 */
		int[] optionCounts() {
			return Arrays.copyOf(this.optionCounts, this.optionCounts.length);
		}

	}

}
