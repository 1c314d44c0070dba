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
	 * @param options the number of things that may happen
	 * @return the thing, from 0
	 */
	int next(int options);

	static Choices ofRandom(RandomGenerator random, double deviation) {
		return (options) -> (random.nextDouble() < deviation) ? random.nextInt(options) : 0;
	}

	/**
	 * Deviates at given points.
	 */
	final class Scripted implements Choices {

		private final int[] points;

		private final int[] options;

		private int at;

		private int index;

		private final int[] seenOptions;

		Scripted(int[] points, int[] options, int length) {
			this.points = points;
			this.options = options;
			this.seenOptions = new int[length];
		}

		@Override
		public int next(int most) {
			int point = this.at++;
			if (point < this.seenOptions.length) {
				this.seenOptions[point] = most;
			}
			if (this.index < this.points.length && this.points[this.index] == point) {
				return Math.min(this.options[this.index++], most - 1);
			}
			return 0;
		}

		/**
		 * Returns how many things could happen at each point of the run.
		 * @return the numbers, 0 beyond the end of the run
		 */
		int[] seenOptions() {
			return Arrays.copyOf(this.seenOptions, this.seenOptions.length);
		}

	}

}
