package io.bulrushrouter.experts.planning;

import java.util.Arrays;

import io.bulrushrouter.experts.ExpertMap;

/**
 * Lowers the skew of a layer by few moves: each gives an expert of the slowest rank one
 * more replica on a fast rank, in an empty slot or in that of a replica that is needed
 * least. The last replica of an expert is never taken away.
 */
final class LayerMoves {

	private static final int CANDIDATE_RANKS = 12;

	private static final int CANDIDATE_EXPERTS = 3;

	private static final int SWEEPS_A_MOVE = 4;

	private static final double SAME_INSTANCE_PENALTY = 0.02;

	private static final double LEAST_GAIN = 1e-6;

	private final LayerFit fit;

	private final int[] instances;

	LayerMoves(LayerFit fit, int[] instances) {
		this.fit = fit;
		this.instances = instances;
	}

	/**
	 * Moves until the skew is low enough or nothing helps.
	 * @param target the skew to reach
	 * @param most the most moves
	 * @return the moves made
	 */
	int lower(double target, int most) {
		int moves = 0;
		double skew = this.fit.skew();
		int withoutGain = 0;
		while (moves < most && skew > target && withoutGain < 6) {
			if (!moveOnce()) {
				return moves;
			}
			moves++;
			double after = this.fit.fit(target, SWEEPS_A_MOVE);
			withoutGain = (after < skew - LEAST_GAIN) ? 0 : withoutGain + 1;
			skew = Math.min(skew, after);
		}
		return moves;
	}

	private boolean moveOnce() {
		int hot = slowestRank();
		int[] cold = fastestRanks();
		int bestExpert = -1;
		int bestSlot = -1;
		double bestScore = 0;
		for (int expert : heaviestExperts(hot)) {
			for (int rank : cold) {
				if (expert < 0 || this.fit.holds(rank, expert)) {
					continue;
				}
				int slot = leastNeededSlot(rank, expert);
				double score = (slot < 0) ? 0 : gain(hot, expert, rank, slot);
				if (score > bestScore) {
					bestScore = score;
					bestExpert = expert;
					bestSlot = slot;
				}
			}
		}
		if (bestSlot < 0) {
			return false;
		}
		replace(bestSlot, bestExpert);
		return true;
	}

	private double gain(int hot, int expert, int rank, int slot) {
		double room = this.fit.time(hot) - this.fit.time(rank);
		double useful = Math.min(tokensOn(hot, expert), room / 2);
		double lost = this.fit.tokensAt(slot);
		double penalty = sharesInstance(rank, expert) ? SAME_INSTANCE_PENALTY * this.fit.mean() : 0;
		return useful - lost / 2 - penalty;
	}

	private double tokensOn(int rank, int expert) {
		for (int slot = 0; slot < this.fit.slots(); slot++) {
			int at = rank * this.fit.slots() + slot;
			if (this.fit.expertAt(at) == expert) {
				return this.fit.tokensAt(at);
			}
		}
		return 0;
	}

	private void replace(int at, int expert) {
		int evicted = this.fit.expertAt(at);
		if (evicted != ExpertMap.EMPTY) {
			this.fit.remove(at);
			this.fit.fill(evicted);
		}
		this.fit.put(at, expert);
		this.fit.fill(expert);
	}

	private int slowestRank() {
		int slowest = 0;
		for (int rank = 1; rank < this.fit.ranks(); rank++) {
			slowest = (this.fit.time(rank) > this.fit.time(slowest)) ? rank : slowest;
		}
		return slowest;
	}

	private int[] fastestRanks() {
		int[] best = new int[Math.min(CANDIDATE_RANKS, this.fit.ranks())];
		Arrays.fill(best, -1);
		for (int rank = 0; rank < this.fit.ranks(); rank++) {
			int candidate = rank;
			for (int index = 0; index < best.length && candidate >= 0; index++) {
				if (best[index] < 0 || this.fit.time(candidate) < this.fit.time(best[index])) {
					int swap = best[index];
					best[index] = candidate;
					candidate = swap;
				}
			}
		}
		return best;
	}

	private int[] heaviestExperts(int rank) {
		int[] best = new int[CANDIDATE_EXPERTS];
		double[] tokens = new double[CANDIDATE_EXPERTS];
		Arrays.fill(best, -1);
		for (int slot = 0; slot < this.fit.slots(); slot++) {
			int at = rank * this.fit.slots() + slot;
			int expert = this.fit.expertAt(at);
			double value = this.fit.tokensAt(at);
			for (int index = 0; index < best.length && expert >= 0; index++) {
				if (best[index] < 0 || value > tokens[index]) {
					int swapExpert = best[index];
					double swapTokens = tokens[index];
					best[index] = expert;
					tokens[index] = value;
					expert = swapExpert;
					value = swapTokens;
				}
			}
		}
		return best;
	}

	private int leastNeededSlot(int rank, int expert) {
		int best = -1;
		for (int slot = 0; slot < this.fit.slots(); slot++) {
			int at = rank * this.fit.slots() + slot;
			int held = this.fit.expertAt(at);
			if (held == ExpertMap.EMPTY) {
				return at;
			}
			boolean removable = held != expert && this.fit.replicaCount(held) > 1;
			if (removable && (best < 0 || this.fit.tokensAt(at) < this.fit.tokensAt(best))) {
				best = at;
			}
		}
		return best;
	}

	private boolean sharesInstance(int rank, int expert) {
		for (int index = 0; index < this.fit.replicaCount(expert); index++) {
			int holder = this.fit.replicaAt(expert, index) / this.fit.slots();
			if (this.instances[holder] == this.instances[rank]) {
				return true;
			}
		}
		return false;
	}

}
