package io.bulrushrouter.experts.live;

import java.util.ArrayList;
import java.util.List;

/**
 * The working copy of one set's placement: which ranks hold which experts, and the load
 * of each rank if the ranks that hold an expert share it evenly.
 */
final class SetPlacement {

	private final List<List<Integer>> byRank = new ArrayList<>();

	private final boolean[][] before;

	private final int[] replicas;

	private final double[] demand;

	private final double[] load;

	private final double mean;

	SetPlacement(int[][] experts, double[] demand) {
		this.demand = demand;
		this.replicas = new int[demand.length];
		this.before = new boolean[experts.length][demand.length];
		double sum = 0;
		for (double each : demand) {
			sum += each;
		}
		this.mean = Math.max(1e-9, sum / experts.length);
		for (int rank = 0; rank < experts.length; rank++) {
			List<Integer> held = new ArrayList<>();
			for (int expert : experts[rank]) {
				held.add(expert);
				this.replicas[expert]++;
				this.before[rank][expert] = true;
			}
			this.byRank.add(held);
		}
		this.load = new double[experts.length];
		for (int rank = 0; rank < experts.length; rank++) {
			this.load[rank] = loadOf(rank);
		}
	}

	private double loadOf(int rank) {
		double sum = 0;
		for (int expert : this.byRank.get(rank)) {
			sum += this.demand[expert] / this.replicas[expert];
		}
		return sum;
	}

	int ranks() {
		return this.load.length;
	}

	List<Integer> held(int rank) {
		return this.byRank.get(rank);
	}

	int replicas(int expert) {
		return this.replicas[expert];
	}

	double part(int expert) {
		return this.demand[expert] / this.replicas[expert];
	}

	boolean holds(int rank, int expert) {
		return this.byRank.get(rank).contains(expert);
	}

	boolean isNew(int rank, int expert) {
		return !this.before[rank][expert];
	}

	/**
	 * Returns the load of the most loaded rank.
	 * @return in parts of the mean
	 */
	double skew() {
		double most = 0;
		for (double each : this.load) {
			most = Math.max(most, each);
		}
		return most / this.mean;
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
	 * @return the sum of powers
	 */
	double roughness() {
		double sum = 0;
		for (double each : this.load) {
			sum += sixth(each / this.mean);
		}
		return sum;
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
			if (step.added()) {
				add(step.rank(), step.expert());
			}
			else {
				drop(step.rank(), step.expert());
			}
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
			if (step.added()) {
				drop(step.rank(), step.expert());
			}
			else {
				add(step.rank(), step.expert());
			}
		}
	}

	private void add(int rank, int expert) {
		share(expert, -1);
		this.replicas[expert]++;
		this.byRank.get(rank).add(expert);
		share(expert, 1);
	}

	private void drop(int rank, int expert) {
		share(expert, -1);
		this.replicas[expert]--;
		this.byRank.get(rank).remove((Integer) expert);
		share(expert, 1);
	}

	private void share(int expert, int sign) {
		if (this.replicas[expert] == 0) {
			return;
		}
		double part = sign * part(expert);
		for (int rank = 0; rank < this.load.length; rank++) {
			if (holds(rank, expert)) {
				this.load[rank] += part;
			}
		}
	}

	int[][] experts() {
		int[][] experts = new int[this.load.length][];
		for (int rank = 0; rank < experts.length; rank++) {
			experts[rank] = this.byRank.get(rank).stream().mapToInt(Integer::intValue).sorted().toArray();
		}
		return experts;
	}

	int newExperts(int rank) {
		int count = 0;
		for (int expert : this.byRank.get(rank)) {
			if (isNew(rank, expert)) {
				count++;
			}
		}
		return count;
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
