package io.bulrushrouter.bench.experts;

import java.util.SplittableRandom;
import java.util.stream.IntStream;

import io.bulrushrouter.experts.GroupShape;

/**
 * A day of expert popularity: Zipf over the experts of each layer, whose places drift,
 * with noise that reverts to the mean and bursts of single experts.
 */
final class ExpertDay {

	/** Ticks of a minute. */
	static final int TICKS_A_MINUTE = 4;

	/** Ticks of the day. */
	static final int TICKS = 24 * 60 * TICKS_A_MINUTE;

	private static final double ZIPF_EXPONENT = 1.0;

	private static final int ANCHOR_TICKS = 4 * 60 * TICKS_A_MINUTE;

	private static final double MOVED_PART = 0.25;

	private static final double NOISE_DEVIATION = 0.1;

	private static final double NOISE_TICKS = 30 * TICKS_A_MINUTE;

	private static final double BURSTS_A_LAYER_AND_TICK = 1.0 / (120 * TICKS_A_MINUTE);

	private static final double BURST_FACTOR = 4;

	private static final int BURST_TICKS = 10 * TICKS_A_MINUTE;

	private static final int BURST_RAMP_TICKS = 2 * TICKS_A_MINUTE;

	private final GroupShape shape;

	private final int[][][] places;

	private final double[][] noise;

	private final int[][] burstEnd;

	private final SplittableRandom random;

	ExpertDay(GroupShape shape, long seed) {
		this.shape = shape;
		this.random = new SplittableRandom(seed);
		this.places = new int[TICKS / ANCHOR_TICKS + 2][shape.layers()][];
		this.noise = new double[shape.layers()][shape.experts()];
		this.burstEnd = new int[shape.layers()][shape.experts()];
		for (int layer = 0; layer < shape.layers(); layer++) {
			this.places[0][layer] = shuffled(IntStream.range(0, shape.experts()).toArray(), shape.experts());
			for (int anchor = 1; anchor < this.places.length; anchor++) {
				int moved = (int) (MOVED_PART * shape.experts());
				this.places[anchor][layer] = shuffled(this.places[anchor - 1][layer].clone(), moved);
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
			int kept = values[one];
			values[one] = values[other];
			values[other] = kept;
		}
		return values;
	}

	/**
	 * Moves on by a tick. Ticks are taken in order.
	 * @param tick the tick of the day
	 * @return the share of each expert, by layer and expert
	 */
	double[][] next(int tick) {
		double[][] shares = new double[this.shape.layers()][this.shape.experts()];
		int anchor = tick / ANCHOR_TICKS;
		double passed = (tick % ANCHOR_TICKS) / (double) ANCHOR_TICKS;
		for (int layer = 0; layer < shares.length; layer++) {
			if (this.random.nextDouble() < BURSTS_A_LAYER_AND_TICK) {
				this.burstEnd[layer][this.random.nextInt(this.shape.experts())] = tick + BURST_TICKS;
			}
			double sum = 0;
			for (int expert = 0; expert < shares[layer].length; expert++) {
				double from = Math.log(1 + this.places[anchor][layer][expert]);
				double to = Math.log(1 + this.places[anchor + 1][layer][expert]);
				double place = from + passed * (to - from);
				shares[layer][expert] = Math.exp(-ZIPF_EXPONENT * place + nextNoise(layer, expert))
						* burst(this.burstEnd[layer][expert] - tick);
				sum += shares[layer][expert];
			}
			for (int expert = 0; expert < shares[layer].length; expert++) {
				shares[layer][expert] /= sum;
			}
		}
		return shares;
	}

	private double nextNoise(int layer, int expert) {
		double kept = Math.exp(-1 / NOISE_TICKS);
		double added = NOISE_DEVIATION * Math.sqrt(1 - kept * kept) * gaussian();
		this.noise[layer][expert] = kept * this.noise[layer][expert] + added;
		return this.noise[layer][expert];
	}

	private static double burst(int left) {
		if (left <= 0) {
			return 1;
		}
		int passed = BURST_TICKS - left;
		double height = Math.min(1, Math.min(passed + 1, left) / (double) BURST_RAMP_TICKS);
		return 1 + (BURST_FACTOR - 1) * height;
	}

	/**
	 * Returns the tokens that reports of a tick show.
	 * @param shares the shares of a layer
	 * @param tokens the tokens of the tick
	 * @return the tokens of each expert, with sampling noise
	 */
	int[] sampled(double[] shares, double tokens) {
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
