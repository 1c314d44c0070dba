package io.bulrushrouter.bench.experts;

import java.util.SplittableRandom;
import java.util.stream.IntStream;

import io.bulrushrouter.experts.GroupShape;

/**
 * Simulates expert popularity over a day. Each layer follows a Zipf distribution in which
 * the popularity ranks of experts drift, with mean-reverting noise and bursts of single
 * experts.
 */
final class DailyPopularity {

	/** Simulation ticks in a minute. */
	static final int TICKS_PER_MINUTE = 4;

	/** Simulation ticks in a day. */
	static final int TICKS_PER_DAY = 24 * 60 * TICKS_PER_MINUTE;

	private static final double ZIPF_EXPONENT = 1.0;

	private static final int ANCHOR_INTERVAL_TICKS = 4 * 60 * TICKS_PER_MINUTE;

	private static final double SWAPPED_SHARE = 0.25;

	private static final double NOISE_DEVIATION = 0.1;

	private static final double NOISE_DECAY_TICKS = 30 * TICKS_PER_MINUTE;

	private static final double BURSTS_PER_LAYER_AND_TICK = 1.0 / (120 * TICKS_PER_MINUTE);

	private static final double BURST_FACTOR = 4;

	private static final int BURST_TICKS = 10 * TICKS_PER_MINUTE;

	private static final int BURST_RAMP_TICKS = 2 * TICKS_PER_MINUTE;

	private final GroupShape shape;

	private final int[][][] popularityRanks;

	private final double[][] noise;

	private final int[][] burstEndTick;

	private final SplittableRandom random;

	DailyPopularity(GroupShape shape, long seed) {
		this.shape = shape;
		this.random = new SplittableRandom(seed);
		this.popularityRanks = new int[TICKS_PER_DAY / ANCHOR_INTERVAL_TICKS + 2][shape.layers()][];
		this.noise = new double[shape.layers()][shape.experts()];
		this.burstEndTick = new int[shape.layers()][shape.experts()];
		for (int layer = 0; layer < shape.layers(); layer++) {
			this.popularityRanks[0][layer] = shuffled(IntStream.range(0, shape.experts()).toArray(), shape.experts());
			for (int anchor = 1; anchor < this.popularityRanks.length; anchor++) {
				int swaps = (int) (SWAPPED_SHARE * shape.experts());
				this.popularityRanks[anchor][layer] = shuffled(this.popularityRanks[anchor - 1][layer].clone(), swaps);
			}
			for (int expert = 0; expert < shape.experts(); expert++) {
				this.noise[layer][expert] = NOISE_DEVIATION * gaussian();
			}
		}
	}

	private int[] shuffled(int[] values, int swaps) {
		for (int swap = 0; swap < swaps; swap++) {
			int one = this.random.nextInt(values.length);
			int other = this.random.nextInt(values.length);
			int previous = values[one];
			values[one] = values[other];
			values[other] = previous;
		}
		return values;
	}

	/**
	 * Advances to a tick. Ticks must be passed in order.
	 * @param tick the tick within the day
	 * @return the share of each expert, by layer and expert
	 */
	double[][] next(int tick) {
		double[][] shares = new double[this.shape.layers()][this.shape.experts()];
		int anchor = tick / ANCHOR_INTERVAL_TICKS;
		double progress = (tick % ANCHOR_INTERVAL_TICKS) / (double) ANCHOR_INTERVAL_TICKS;
		for (int layer = 0; layer < shares.length; layer++) {
			if (this.random.nextDouble() < BURSTS_PER_LAYER_AND_TICK) {
				this.burstEndTick[layer][this.random.nextInt(this.shape.experts())] = tick + BURST_TICKS;
			}
			double sum = 0;
			for (int expert = 0; expert < shares[layer].length; expert++) {
				double from = Math.log(1 + this.popularityRanks[anchor][layer][expert]);
				double to = Math.log(1 + this.popularityRanks[anchor + 1][layer][expert]);
				double popularityRank = from + progress * (to - from);
				shares[layer][expert] = Math.exp(-ZIPF_EXPONENT * popularityRank + nextNoise(layer, expert))
						* burstFactor(this.burstEndTick[layer][expert] - tick);
				sum += shares[layer][expert];
			}
			for (int expert = 0; expert < shares[layer].length; expert++) {
				shares[layer][expert] /= sum;
			}
		}
		return shares;
	}

	private double nextNoise(int layer, int expert) {
		double decay = Math.exp(-1 / NOISE_DECAY_TICKS);
		double innovation = NOISE_DEVIATION * Math.sqrt(1 - decay * decay) * gaussian();
		this.noise[layer][expert] = decay * this.noise[layer][expert] + innovation;
		return this.noise[layer][expert];
	}

	private static double burstFactor(int remainingTicks) {
		if (remainingTicks <= 0) {
			return 1;
		}
		int elapsedTicks = BURST_TICKS - remainingTicks;
		double height = Math.min(1, Math.min(elapsedTicks + 1, remainingTicks) / (double) BURST_RAMP_TICKS);
		return 1 + (BURST_FACTOR - 1) * height;
	}

	/**
	 * Samples the token counts that are reported for a tick.
	 * @param shares the share of each expert in a layer
	 * @param tokens the number of tokens in the tick
	 * @return the token count of each expert, with sampling noise
	 */
	int[] sampleCounts(double[] shares, double tokens) {
		int[] counts = new int[shares.length];
		for (int expert = 0; expert < counts.length; expert++) {
			double mean = shares[expert] * tokens;
			counts[expert] = (int) Math.max(0, Math.round(mean + Math.sqrt(mean) * gaussian()));
		}
		return counts;
	}

	private double gaussian() {
		return this.random.nextGaussian();
	}

}
