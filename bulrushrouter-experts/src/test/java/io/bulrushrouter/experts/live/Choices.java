package io.bulrushrouter.experts.live;

import java.util.Arrays;
import java.util.random.RandomGenerator;

/**
 * Selects the event at each choice point of a simulated run. Option 0 is the regular
 * event; all others are deviations.
 */
interface Choices {

	/**
	 * Selects the event at the next choice point.
	 * @param optionCount the number of possible events
	 * @return the index of the event, from 0
	 */
	int next(int optionCount);

	static Choices ofRandom(RandomGenerator random, double deviationProbability) {
		return (optionCount) -> (random.nextDouble() < deviationProbability) ? random.nextInt(optionCount) : 0;
	}

	/**
	 * Deviates at given choice points only.
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
		 * Returns the number of options at each choice point of the run.
		 * @return the numbers, 0 beyond the end of the run
		 */
		int[] optionCounts() {
			return Arrays.copyOf(this.optionCounts, this.optionCounts.length);
		}

	}

}
