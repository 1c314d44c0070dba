package io.bulrushrouter.bench.groupmaps;

/**
 * The figures of a group and of its demand.
 *
 * @param name the name in tables
 * @param ranks the ranks
 * @param layerSets the sets of layers
 * @param experts the experts of a set
 * @param slots the experts of a set that a rank has room for
 * @param maxCopies the experts of a set that a rank may copy for one map
 * @param copySeconds the time that a rank needs to copy one expert
 * @param skewExponent the exponent of Zipf's law that demand follows
 * @param durationSeconds how long to play
 */
record GroupParameters(String name, int ranks, int layerSets, int experts, int slots, int maxCopies, double copySeconds,
		double skewExponent, int durationSeconds) {

	/** The part of a pass that experts take: the engines' published figure. */
	private static final double EXPERT_SHARE = 0.85;

	/** Passes take this much longer while weights are copied: also published. */
	private static final double COPYING_SLOWDOWN = 1.15;

	/** A pass without skew of a group that is two thirds full. */
	private static final double PASS_SECONDS = 0.045;

	/** Tokens of the whole group that a pass makes and that choose experts. */
	private static final int TOKENS_PER_PASS = 600;

	/** Experts of a set that a token goes to. */
	private static final int EXPERTS_PER_TOKEN = 8;

	/**
	 * Returns how long a pass takes.
	 * @param skew the load of the most loaded rank over the mean, as a mean over sets
	 * @param copying whether ranks copy weights
	 * @return seconds
	 */
	double passSeconds(double skew, boolean copying) {
		double seconds = PASS_SECONDS * (1 - EXPERT_SHARE + EXPERT_SHARE * skew);
		return copying ? seconds * COPYING_SLOWDOWN : seconds;
	}

	int tokensPerPass() {
		return TOKENS_PER_PASS;
	}

	int expertChoicesPerPass() {
		return TOKENS_PER_PASS * EXPERTS_PER_TOKEN;
	}

	/**
	 * Returns the map that a group starts with: experts in turn.
	 * @return the experts by set and rank
	 */
	int[][][] initialMap() {
		int[][][] map = new int[this.layerSets][this.ranks][this.experts / this.ranks];
		for (int[][] set : map) {
			for (int expert = 0; expert < this.experts; expert++) {
				set[expert % this.ranks][expert / this.ranks] = expert;
			}
		}
		return map;
	}

}
