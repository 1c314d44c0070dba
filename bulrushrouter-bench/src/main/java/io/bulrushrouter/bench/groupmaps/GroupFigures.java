package io.bulrushrouter.bench.groupmaps;

/**
 * The figures of a group and of its demand.
 *
 * @param name the name in tables
 * @param ranks the ranks
 * @param sets the sets of layers
 * @param experts the experts of a set
 * @param places the experts of a set that a rank has room for
 * @param spare the experts of a set that a rank may copy for one map
 * @param secondsForCopy the time that a rank needs to copy one expert
 * @param skewExponent the exponent of Zipf's law that demand follows
 * @param seconds how long to play
 */
record GroupFigures(String name, int ranks, int sets, int experts, int places, int spare, double secondsForCopy,
		double skewExponent, int seconds) {

	/** The part of a pass that experts take: the engines' published figure. */
	private static final double EXPERT_PART = 0.85;

	/** Passes take this much longer while weights are copied: also published. */
	private static final double SLOWER_WHILE_COPYING = 1.15;

	/** A pass without skew of a group that is two thirds full. */
	private static final double PASS_SECONDS = 0.045;

	/** Tokens of the whole group that a pass makes and that choose experts. */
	private static final int TOKENS_OF_PASS = 600;

	/** Experts of a set that a token goes to. */
	private static final int CHOICES_OF_TOKEN = 8;

	/**
	 * Returns how long a pass takes.
	 * @param skew the load of the most loaded rank over the mean, as a mean over sets
	 * @param copying whether ranks copy weights
	 * @return seconds
	 */
	double passSeconds(double skew, boolean copying) {
		double seconds = PASS_SECONDS * (1 - EXPERT_PART + EXPERT_PART * skew);
		return copying ? seconds * SLOWER_WHILE_COPYING : seconds;
	}

	int tokensOfPass() {
		return TOKENS_OF_PASS;
	}

	int choicesOfPass() {
		return TOKENS_OF_PASS * CHOICES_OF_TOKEN;
	}

	/**
	 * Returns the map that a group starts with: experts in turn.
	 * @return the experts by set and rank
	 */
	int[][][] firstMap() {
		int[][][] map = new int[this.sets][this.ranks][this.experts / this.ranks];
		for (int[][] set : map) {
			for (int expert = 0; expert < this.experts; expert++) {
				set[expert % this.ranks][expert / this.ranks] = expert;
			}
		}
		return map;
	}

}
