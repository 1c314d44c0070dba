package io.bulrushrouter.experts.live;

import java.util.List;
import java.util.stream.IntStream;

/**
 * A mutable placement of the experts of one set: which ranks hold which experts, and the
 * load of each rank if the replicas of an expert share its tokens evenly. All values are
 * updated incrementally, since a plan tries about ten thousand changes.
 */
final class SetPlacement {

	private final boolean[][] holds;

	private final boolean[][] initial;

	private final int[] heldCounts;

	private final int[] newCounts;

	private final int[] replicas;

	/**
	 * The ranks that hold each expert, in the first {@code replicas} elements of its row.
	 */
	private final int[][] holders;

	private final double[] demand;

	private final double[] load;

	private final double meanLoad;

	private double imbalance;

	SetPlacement(int[][] experts, double[] demand) {
		int ranks = experts.length;
		this.demand = demand;
		this.replicas = new int[demand.length];
		this.holds = new boolean[ranks][demand.length];
		this.initial = new boolean[ranks][demand.length];
		this.holders = new int[demand.length][ranks];
		this.heldCounts = new int[ranks];
		this.newCounts = new int[ranks];
		this.load = new double[ranks];
		double sum = 0;
		for (double each : demand) {
			sum += each;
		}
		this.meanLoad = Math.max(1e-9, sum / ranks);
		for (int rank = 0; rank < ranks; rank++) {
			this.heldCounts[rank] = experts[rank].length;
			for (int expert : experts[rank]) {
				this.holds[rank][expert] = true;
				this.initial[rank][expert] = true;
				this.holders[expert][this.replicas[expert]++] = rank;
			}
		}
		for (int rank = 0; rank < ranks; rank++) {
			for (int expert : experts[rank]) {
				this.load[rank] += loadPerReplica(expert);
			}
			this.imbalance += sixthPower(this.load[rank] / this.meanLoad);
		}
	}

	int ranks() {
		return this.load.length;
	}

	int[] expertsOf(int rank) {
		return IntStream.range(0, this.demand.length).filter((expert) -> this.holds[rank][expert]).toArray();
	}

	int heldCount(int rank) {
		return this.heldCounts[rank];
	}

	int replicas(int expert) {
		return this.replicas[expert];
	}

	double loadPerReplica(int expert) {
		return this.demand[expert] / this.replicas[expert];
	}

	double load(int rank) {
		return this.load[rank];
	}

	boolean holds(int rank, int expert) {
		return this.holds[rank][expert];
	}

	boolean isNew(int rank, int expert) {
		return !this.initial[rank][expert];
	}

	/**
	 * Returns the skew of the set.
	 * @return the load of the most loaded rank over the mean load
	 */
	double skew() {
		return this.load[mostLoadedRank()] / this.meanLoad;
	}

	int mostLoadedRank() {
		int most = 0;
		for (int rank = 1; rank < this.load.length; rank++) {
			if (this.load[rank] > this.load[most]) {
				most = rank;
			}
		}
		return most;
	}

	/**
	 * Returns a smooth approximation of how far the most loaded rank exceeds the mean.
	 * @return the sum over ranks of the sixth power of load over mean load
	 */
	double imbalance() {
		return this.imbalance;
	}

	private static double sixthPower(double value) {
		double square = value * value;
		return square * square * square;
	}

	/**
	 * Applies a change to the placement.
	 * @param change the change
	 */
	void apply(Change change) {
		for (Change.Step step : change.steps()) {
			update(step.rank(), step.expert(), step.added());
		}
	}

	/**
	 * Reverts a change.
	 * @param change the change, which must be the last one applied
	 */
	void revert(Change change) {
		List<Change.Step> steps = change.steps();
		for (int index = steps.size() - 1; index >= 0; index--) {
			Change.Step step = steps.get(index);
			update(step.rank(), step.expert(), !step.added());
		}
	}

	private void update(int rank, int expert, boolean added) {
		addLoad(expert, -1);
		int sign = added ? 1 : -1;
		if (added) {
			this.holders[expert][this.replicas[expert]++] = rank;
		}
		else {
			removeHolder(rank, expert);
		}
		this.heldCounts[rank] += sign;
		if (isNew(rank, expert)) {
			this.newCounts[rank] += sign;
		}
		this.holds[rank][expert] = added;
		addLoad(expert, 1);
	}

	private void removeHolder(int rank, int expert) {
		int[] ranks = this.holders[expert];
		int index = 0;
		while (ranks[index] != rank) {
			index++;
		}
		ranks[index] = ranks[--this.replicas[expert]];
	}

	private void addLoad(int expert, int sign) {
		if (this.replicas[expert] == 0) {
			return;
		}
		double delta = sign * loadPerReplica(expert);
		for (int index = 0; index < this.replicas[expert]; index++) {
			int rank = this.holders[expert][index];
			this.imbalance -= sixthPower(this.load[rank] / this.meanLoad);
			this.load[rank] += delta;
			this.imbalance += sixthPower(this.load[rank] / this.meanLoad);
		}
	}

	int[][] experts() {
		int[][] experts = new int[this.load.length][];
		for (int rank = 0; rank < experts.length; rank++) {
			experts[rank] = expertsOf(rank);
		}
		return experts;
	}

	int newExpertCount(int rank) {
		return this.newCounts[rank];
	}

	/**
	 * A change that consists of several steps.
	 *
	 * @param steps the steps, in the order in which they are applied
	 */
	record Change(List<Step> steps) {

		static Change of(Step... steps) {
			return new Change(List.of(steps));
		}

		/**
		 * The addition or removal of one replica.
		 *
		 * @param rank the rank
		 * @param expert the expert
		 * @param added whether the replica is added; otherwise it is removed
		 */
		record Step(int rank, int expert, boolean added) {
		}

	}

}
