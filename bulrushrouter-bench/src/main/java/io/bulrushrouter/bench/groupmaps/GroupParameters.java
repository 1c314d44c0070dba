package io.bulrushrouter.bench.groupmaps;

import java.util.Arrays;
import java.util.stream.IntStream;

/**
 * Parameters of a simulated rank group and its demand.
 *
 * @param name the name of the group in tables
 * @param ranks the number of ranks
 * @param layerSets the number of layer sets, each of which shares one placement
 * @param experts the number of experts in a layer set
 * @param slots the maximum number of experts of a layer set on a rank
 * @param maxCopies the maximum number of experts of a layer set that a rank copies for
 * one map
 * @param copySeconds the time that a rank takes to copy one expert, in seconds
 * @param skewExponent the exponent of the Zipf distribution of demand
 * @param promptsPerPass the mean number of prompts that are read in a pass
 * @param pollSeconds the time between two collections of the expert counts, in seconds
 * @param durationSeconds the simulated duration in seconds
 */
record GroupParameters(String name, int ranks, int layerSets, int experts, int slots, int maxCopies, double copySeconds,
		double skewExponent, double promptsPerPass, double pollSeconds, int durationSeconds) {

	/** The share of a forward pass spent in experts, as published for the engines. */
	private static final double EXPERT_SHARE = 0.85;

	/** The slowdown of passes while weights are copied, as published for the engines. */
	private static final double COPYING_SLOWDOWN = 1.15;

	/** The duration of a pass without skew in a group at two thirds occupancy. */
	private static final double PASS_SECONDS = 0.045;

	/** Tokens that a rank reads or generates and routes to experts in a pass. */
	private static final int TOKENS_PER_RANK = 50;

	/** Experts of a layer set that each token is routed to. */
	private static final int EXPERTS_PER_TOKEN = 8;

	/**
	 * Returns the duration of a forward pass.
	 * @param skew the load of the most loaded rank relative to the mean, averaged over
	 * layer sets
	 * @param copying whether ranks are copying weights
	 * @return the duration in seconds
	 */
	double passSeconds(double skew, boolean copying) {
		double seconds = PASS_SECONDS * (1 - EXPERT_SHARE + EXPERT_SHARE * skew);
		return copying ? seconds * COPYING_SLOWDOWN : seconds;
	}

	int tokensPerPass() {
		return TOKENS_PER_RANK * this.ranks;
	}

	int expertChoicesPerPass() {
		return tokensPerPass() * EXPERTS_PER_TOKEN;
	}

	/**
	 * Returns the initial map of the group, with experts placed round-robin.
	 * @return the experts by layer set and rank
	 */
	int[][][] initialMap() {
		int[][][] map = new int[this.layerSets][this.ranks][];
		for (int[][] set : map) {
			Arrays.setAll(set,
					(rank) -> IntStream.range(0, this.experts)
						.filter((expert) -> expert % this.ranks == rank)
						.toArray());
		}
		return map;
	}

}
