package io.bulrushrouter.experts.planning;

import java.util.Arrays;
import java.util.Comparator;
import java.util.stream.IntStream;

import io.bulrushrouter.experts.ExpertMap;

/**
 * Local search that lowers the skew of a layer with few replica moves. A move gives an
 * expert of a slow rank one more replica on a fast rank, in an empty slot or in place of
 * the replica with the fewest tokens. Each candidate move is applied to the placement and
 * undone; the one that lowers the sum of squares most is then applied. The last replica
 * of an expert is never evicted.
 */
final class LayerMoveSearch {

	private static final int MAX_EXPERTS_PER_RANK = 6;

	private static final int SWEEPS_PER_MOVE = 6;

	private static final int FINAL_SWEEPS = 30;

	private static final double SAME_INSTANCE_PENALTY = 1e-5;

	private static final double MIN_RELATIVE_GAIN = 1e-5;

	private final LayerPlacement placement;

	private final int[] instances;

	private final SearchWidth width;

	private int bestExpert;

	private int bestSlot;

	private double bestSumOfSquares;

	LayerMoveSearch(LayerPlacement placement, int[] instances, SearchWidth width) {
		this.placement = placement;
		this.instances = instances;
		this.width = width;
	}

	/**
	 * Applies moves until the target skew is reached, no move helps, or the maximum
	 * number of moves is made.
	 * @param targetSkew the skew to reach
	 * @param maxMoves the maximum number of moves
	 * @return the number of moves made
	 */
	int lowerSkew(double targetSkew, int maxMoves) {
		int moves = 0;
		while (moves < maxMoves && this.placement.skew() > targetSkew && applyBestMove()) {
			moves++;
			this.placement.fitShares(targetSkew, SWEEPS_PER_MOVE);
		}
		this.placement.fitShares(targetSkew, FINAL_SWEEPS);
		return moves;
	}

	private boolean applyBestMove() {
		int[] hotRanks = ranksByTime(this.width.hotRanks(), -1);
		int[] coldRanks = ranksByTime(this.width.coldRanks(), 1);
		this.bestSlot = -1;
		this.bestSumOfSquares = this.placement.sumOfSquares() * (1 - MIN_RELATIVE_GAIN);
		double[] tokens = this.placement.tokensBySlot();
		for (int from : hotRanks) {
			for (int layerSlot : heaviestSlots(from)) {
				tryTargetRanks(this.placement.expertAt(layerSlot), from, coldRanks, tokens);
			}
		}
		if (this.bestSlot < 0) {
			return false;
		}
		replace(this.bestSlot, this.bestExpert);
		return true;
	}

	private int[] heaviestSlots(int rank) {
		return IntStream.range(rank * this.placement.slots(), (rank + 1) * this.placement.slots())
			.filter((layerSlot) -> this.placement.expertAt(layerSlot) != ExpertMap.EMPTY
					&& this.placement.tokensAt(layerSlot) > 0)
			.boxed()
			.sorted(Comparator.comparingDouble((layerSlot) -> -this.placement.tokensAt(layerSlot)))
			.limit(MAX_EXPERTS_PER_RANK)
			.mapToInt(Integer::intValue)
			.toArray();
	}

	private void tryTargetRanks(int expert, int from, int[] coldRanks, double[] tokens) {
		for (int to : coldRanks) {
			if (this.placement.time(to) >= this.placement.time(from) || this.placement.holds(to, expert)) {
				continue;
			}
			int slot = leastLoadedSlot(to, expert);
			if (slot >= 0) {
				tryMove(expert, from, to, slot, tokens);
			}
		}
	}

	private void tryMove(int expert, int from, int to, int slot, double[] tokens) {
		double penalty = instanceHolds(to, expert) ? 1 + SAME_INSTANCE_PENALTY : 1;
		int evicted = replace(slot, expert);
		this.placement.fitSharesOfRank(from);
		this.placement.fitSharesOfRank(to);
		double sumOfSquares = this.placement.sumOfSquares() * penalty;
		if (sumOfSquares < this.bestSumOfSquares) {
			this.bestSumOfSquares = sumOfSquares;
			this.bestExpert = expert;
			this.bestSlot = slot;
		}
		this.placement.remove(slot);
		if (evicted != ExpertMap.EMPTY) {
			this.placement.put(slot, evicted);
		}
		this.placement.restore(tokens);
	}

	private int replace(int layerSlot, int expert) {
		int evicted = this.placement.expertAt(layerSlot);
		if (evicted != ExpertMap.EMPTY) {
			this.placement.remove(layerSlot);
			this.placement.waterFill(evicted);
		}
		this.placement.put(layerSlot, expert);
		this.placement.waterFill(expert);
		return evicted;
	}

	private int[] ranksByTime(int count, int sign) {
		int[] best = new int[Math.min(count, this.placement.ranks())];
		Arrays.fill(best, -1);
		for (int rank = 0; rank < this.placement.ranks(); rank++) {
			int candidate = rank;
			for (int index = 0; index < best.length && candidate >= 0; index++) {
				boolean precedes = best[index] < 0
						|| sign * this.placement.time(candidate) < sign * this.placement.time(best[index]);
				if (precedes) {
					int swap = best[index];
					best[index] = candidate;
					candidate = swap;
				}
			}
		}
		return best;
	}

	private int leastLoadedSlot(int rank, int expert) {
		int best = -1;
		for (int slot = 0; slot < this.placement.slots(); slot++) {
			int layerSlot = rank * this.placement.slots() + slot;
			int heldExpert = this.placement.expertAt(layerSlot);
			if (heldExpert == ExpertMap.EMPTY) {
				return layerSlot;
			}
			boolean removable = heldExpert != expert && this.placement.replicaCount(heldExpert) > 1;
			if (removable && (best < 0 || this.placement.tokensAt(layerSlot) < this.placement.tokensAt(best))) {
				best = layerSlot;
			}
		}
		return best;
	}

	private boolean instanceHolds(int rank, int expert) {
		for (int index = 0; index < this.placement.replicaCount(expert); index++) {
			int holder = this.placement.replicaSlot(expert, index) / this.placement.slots();
			if (this.instances[holder] == this.instances[rank]) {
				return true;
			}
		}
		return false;
	}

	/**
	 * The number of source and target ranks that are tried for a move.
	 *
	 * @param hotRanks the number of slowest ranks, used as sources
	 * @param coldRanks the number of fastest ranks, used as targets
	 */
	record SearchWidth(int hotRanks, int coldRanks) {
	}

}
