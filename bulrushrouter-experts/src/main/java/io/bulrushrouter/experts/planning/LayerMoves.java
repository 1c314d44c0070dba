package io.bulrushrouter.experts.planning;

import java.util.Arrays;
import java.util.Comparator;
import java.util.stream.IntStream;

import io.bulrushrouter.experts.ExpertMap;

/**
 * Lowers the skew of a layer by few moves: each gives an expert of a slow rank one more
 * replica on a fast rank, in an empty slot or in that of a replica that is needed least.
 * Moves are tried out on the layer itself, and the one that lowers the sum of squares
 * most is kept. The last replica of an expert is never taken away.
 */
final class LayerMoves {

	private static final int HEAVIEST_EXPERTS = 6;

	private static final int SWEEPS_A_MOVE = 6;

	private static final int SWEEPS_AT_END = 30;

	private static final double SAME_INSTANCE_PENALTY = 1e-5;

	private static final double LEAST_GAIN = 1e-5;

	private final LayerFit fit;

	private final int[] instances;

	private final Width width;

	private int bestExpert;

	private int bestSlot;

	private double bestSquares;

	LayerMoves(LayerFit fit, int[] instances, Width width) {
		this.fit = fit;
		this.instances = instances;
		this.width = width;
	}

	/**
	 * Moves until the skew is low enough or nothing helps.
	 * @param target the skew to reach
	 * @param most the most moves
	 * @return the moves made
	 */
	int lower(double target, int most) {
		int moves = 0;
		while (moves < most && this.fit.skew() > target && moveOnce()) {
			moves++;
			this.fit.fit(target, SWEEPS_A_MOVE);
		}
		this.fit.fit(target, SWEEPS_AT_END);
		return moves;
	}

	private boolean moveOnce() {
		int[] hot = ranksByTime(this.width.hotRanks(), -1);
		int[] cold = ranksByTime(this.width.coldRanks(), 1);
		this.bestSlot = -1;
		this.bestSquares = this.fit.squares() * (1 - LEAST_GAIN);
		double[] tokens = this.fit.tokens();
		for (int from : hot) {
			for (int at : heaviestSlots(from)) {
				tryRanks(this.fit.expertAt(at), from, cold, tokens);
			}
		}
		if (this.bestSlot < 0) {
			return false;
		}
		replace(this.bestSlot, this.bestExpert);
		return true;
	}

	private int[] heaviestSlots(int rank) {
		return IntStream.range(rank * this.fit.slots(), (rank + 1) * this.fit.slots())
			.filter((at) -> this.fit.expertAt(at) != ExpertMap.EMPTY && this.fit.tokensAt(at) > 0)
			.boxed()
			.sorted(Comparator.comparingDouble((at) -> -this.fit.tokensAt(at)))
			.limit(HEAVIEST_EXPERTS)
			.mapToInt(Integer::intValue)
			.toArray();
	}

	private void tryRanks(int expert, int from, int[] cold, double[] tokens) {
		for (int to : cold) {
			if (this.fit.time(to) >= this.fit.time(from) || this.fit.holds(to, expert)) {
				continue;
			}
			int slot = leastNeededSlot(to, expert);
			if (slot >= 0) {
				tryMove(expert, from, to, slot, tokens);
			}
		}
	}

	private void tryMove(int expert, int from, int to, int slot, double[] tokens) {
		double penalty = sharesInstance(to, expert) ? 1 + SAME_INSTANCE_PENALTY : 1;
		int evicted = replace(slot, expert);
		this.fit.fitAround(from);
		this.fit.fitAround(to);
		double squares = this.fit.squares() * penalty;
		if (squares < this.bestSquares) {
			this.bestSquares = squares;
			this.bestExpert = expert;
			this.bestSlot = slot;
		}
		this.fit.remove(slot);
		if (evicted != ExpertMap.EMPTY) {
			this.fit.put(slot, evicted);
		}
		this.fit.restore(tokens);
	}

	private int replace(int at, int expert) {
		int evicted = this.fit.expertAt(at);
		if (evicted != ExpertMap.EMPTY) {
			this.fit.remove(at);
			this.fit.fill(evicted);
		}
		this.fit.put(at, expert);
		this.fit.fill(expert);
		return evicted;
	}

	private int[] ranksByTime(int count, int sign) {
		int[] best = new int[Math.min(count, this.fit.ranks())];
		Arrays.fill(best, -1);
		for (int rank = 0; rank < this.fit.ranks(); rank++) {
			int candidate = rank;
			for (int index = 0; index < best.length && candidate >= 0; index++) {
				boolean before = best[index] < 0 || sign * this.fit.time(candidate) < sign * this.fit.time(best[index]);
				if (before) {
					int swap = best[index];
					best[index] = candidate;
					candidate = swap;
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

	/**
	 * How many ranks a move is tried from and to.
	 *
	 * @param hotRanks the slowest ranks
	 * @param coldRanks the fastest ranks
	 */
	record Width(int hotRanks, int coldRanks) {
	}

}
