package io.bulrushrouter.experts.live;

import java.util.List;
import java.util.stream.IntStream;

/**
 * The working copy of one set's placement: which ranks hold which experts, and the load
 * of each rank if the ranks that hold an expert share it evenly. All is kept up to date
 * change by change, since a plan tries some ten thousand.
 */
final class SetPlacement {

	private final boolean[][] holds;

	private final boolean[][] before;

	private final int[] held;

	private final int[] fresh;

	private final int[] replicas;

	/** The ranks that hold an expert, in the first places of its row. */
	private final int[][] holders;

	private final double[] demand;

	private final double[] load;

	private final double mean;

	private double roughness;

	SetPlacement(int[][] experts, double[] demand) {
		int ranks = experts.length;
		this.demand = demand;
		this.replicas = new int[demand.length];
		this.holds = new boolean[ranks][demand.length];
		this.before = new boolean[ranks][demand.length];
		this.holders = new int[demand.length][ranks];
		this.held = new int[ranks];
		this.fresh = new int[ranks];
		this.load = new double[ranks];
		double sum = 0;
		for (double each : demand) {
			sum += each;
		}
		this.mean = Math.max(1e-9, sum / ranks);
		for (int rank = 0; rank < ranks; rank++) {
			this.held[rank] = experts[rank].length;
			for (int expert : experts[rank]) {
				this.holds[rank][expert] = true;
				this.before[rank][expert] = true;
				this.holders[expert][this.replicas[expert]++] = rank;
			}
		}
		for (int rank = 0; rank < ranks; rank++) {
			for (int expert : experts[rank]) {
				this.load[rank] += part(expert);
			}
			this.roughness += sixth(this.load[rank] / this.mean);
		}
	}

	int ranks() {
		return this.load.length;
	}

	int[] held(int rank) {
		return IntStream.range(0, this.demand.length).filter((expert) -> this.holds[rank][expert]).toArray();
	}

	int heldCount(int rank) {
		return this.held[rank];
	}

	int replicas(int expert) {
		return this.replicas[expert];
	}

	double part(int expert) {
		return this.demand[expert] / this.replicas[expert];
	}

	double load(int rank) {
		return this.load[rank];
	}

	boolean holds(int rank, int expert) {
		return this.holds[rank][expert];
	}

	boolean isNew(int rank, int expert) {
		return !this.before[rank][expert];
	}

	/**
	 * Returns the load of the most loaded rank.
	 * @return in parts of the mean
	 */
	double skew() {
		return this.load[mostLoaded()] / this.mean;
	}

	int mostLoaded() {
		int most = 0;
		for (int rank = 1; rank < this.load.length; rank++) {
			if (this.load[rank] > this.load[most]) {
				most = rank;
			}
		}
		return most;
	}

	/**
	 * Returns a smooth stand-in for the load of the most loaded rank.
	 * @return the sum of sixth powers of the ranks' loads
	 */
	double roughness() {
		return this.roughness;
	}

	private static double sixth(double value) {
		double square = value * value;
		return square * square * square;
	}

	/**
	 * Changes the placement.
	 * @param change the change
	 */
	void apply(Change change) {
		for (Change.Step step : change.steps()) {
			set(step.rank(), step.expert(), step.added());
		}
	}

	/**
	 * Takes a change back.
	 * @param change the change that was applied last
	 */
	void revert(Change change) {
		List<Change.Step> steps = change.steps();
		for (int index = steps.size() - 1; index >= 0; index--) {
			Change.Step step = steps.get(index);
			set(step.rank(), step.expert(), !step.added());
		}
	}

	private void set(int rank, int expert, boolean added) {
		share(expert, -1);
		int sign = added ? 1 : -1;
		if (added) {
			this.holders[expert][this.replicas[expert]++] = rank;
		}
		else {
			dropHolder(rank, expert);
		}
		this.held[rank] += sign;
		if (isNew(rank, expert)) {
			this.fresh[rank] += sign;
		}
		this.holds[rank][expert] = added;
		share(expert, 1);
	}

	private void dropHolder(int rank, int expert) {
		int[] ranks = this.holders[expert];
		int place = 0;
		while (ranks[place] != rank) {
			place++;
		}
		ranks[place] = ranks[--this.replicas[expert]];
	}

	private void share(int expert, int sign) {
		if (this.replicas[expert] == 0) {
			return;
		}
		double part = sign * part(expert);
		for (int place = 0; place < this.replicas[expert]; place++) {
			int rank = this.holders[expert][place];
			this.roughness -= sixth(this.load[rank] / this.mean);
			this.load[rank] += part;
			this.roughness += sixth(this.load[rank] / this.mean);
		}
	}

	int[][] experts() {
		int[][] experts = new int[this.load.length][];
		for (int rank = 0; rank < experts.length; rank++) {
			experts[rank] = held(rank);
		}
		return experts;
	}

	int newExperts(int rank) {
		return this.fresh[rank];
	}

	/**
	 * A change in a few steps.
	 *
	 * @param steps the steps, in order
	 */
	record Change(List<Step> steps) {

		static Change of(Step... steps) {
			return new Change(List.of(steps));
		}

		/**
		 * One step.
		 *
		 * @param rank the rank
		 * @param expert the expert
		 * @param added whether the rank gets it, or drops it
		 */
		record Step(int rank, int expert, boolean added) {
		}

	}

}
