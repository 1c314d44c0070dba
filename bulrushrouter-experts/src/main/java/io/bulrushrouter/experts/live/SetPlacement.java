package io.bulrushrouter.experts.live;

/**
 * A mutable placement of the experts of one set: which ranks hold which experts, and the
 * load of each rank, relative to the mean load, if the replicas of an expert share its
 * tokens evenly. A change is evaluated without being applied, since a plan evaluates
 * about a hundred thousand changes.
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

	/** The demand for each expert, relative to the mean load of a rank. */
	private final double[] demand;

	private final double[] load;

	private double imbalance;

	/** The change of load by the change that is evaluated, for the touched ranks. */
	private final double[] loadDelta;

	private final boolean[] touched;

	private final int[] touchedRanks;

	private int touchedCount;

	SetPlacement(int[][] experts, double[] demand) {
		int ranks = experts.length;
		this.demand = relativeToMeanLoad(demand, ranks);
		this.replicas = new int[demand.length];
		this.holds = new boolean[ranks][demand.length];
		this.initial = new boolean[ranks][demand.length];
		this.holders = new int[demand.length][ranks];
		this.heldCounts = new int[ranks];
		this.newCounts = new int[ranks];
		this.load = new double[ranks];
		this.loadDelta = new double[ranks];
		this.touched = new boolean[ranks];
		this.touchedRanks = new int[ranks];
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
			this.imbalance += sixthPower(this.load[rank]);
		}
	}

	private static double[] relativeToMeanLoad(double[] demand, int ranks) {
		double sum = 0;
		for (double each : demand) {
			sum += each;
		}
		double meanLoad = Math.max(1e-9, sum / ranks);
		double[] relative = new double[demand.length];
		for (int expert = 0; expert < relative.length; expert++) {
			relative[expert] = demand[expert] / meanLoad;
		}
		return relative;
	}

	int ranks() {
		return this.load.length;
	}

	int[] expertsOf(int rank) {
		int[] experts = new int[this.heldCounts[rank]];
		int count = 0;
		for (int expert = 0; count < experts.length; expert++) {
			if (this.holds[rank][expert]) {
				experts[count++] = expert;
			}
		}
		return experts;
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

	private boolean isNew(int rank, int expert) {
		return !this.initial[rank][expert];
	}

	/**
	 * Returns the skew of the set.
	 * @return the load of the most loaded rank over the mean load
	 */
	double skew() {
		return this.load[mostLoadedRank()];
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
	 * Returns the imbalance that a change would lead to.
	 * @param change the change
	 * @return the imbalance after the change
	 */
	double imbalanceAfter(ReplicaChange change) {
		addLoadDeltas(change.expert(), change.addedTo(), change.removedFrom());
		if (change.other() != ReplicaChange.NONE) {
			addLoadDeltas(change.other(), change.otherAddedTo(), change.otherRemovedFrom());
		}
		double after = this.imbalance;
		for (int index = 0; index < this.touchedCount; index++) {
			int rank = this.touchedRanks[index];
			after += sixthPower(this.load[rank] + this.loadDelta[rank]) - sixthPower(this.load[rank]);
			this.touched[rank] = false;
		}
		this.touchedCount = 0;
		return after;
	}

	private void addLoadDeltas(int expert, int addedTo, int removedFrom) {
		int before = this.replicas[expert];
		int after = before + ((addedTo >= 0) ? 1 : 0) - ((removedFrom >= 0) ? 1 : 0);
		double loadBefore = this.demand[expert] / before;
		double loadAfter = this.demand[expert] / after;
		int[] ranks = this.holders[expert];
		for (int index = 0; index < before; index++) {
			int rank = ranks[index];
			addLoadDelta(rank, ((rank == removedFrom) ? 0 : loadAfter) - loadBefore);
		}
		if (addedTo >= 0) {
			addLoadDelta(addedTo, loadAfter);
		}
	}

	private void addLoadDelta(int rank, double delta) {
		if (!this.touched[rank]) {
			this.touched[rank] = true;
			this.touchedRanks[this.touchedCount++] = rank;
			this.loadDelta[rank] = 0;
		}
		this.loadDelta[rank] += delta;
	}

	/**
	 * Applies a change.
	 * @param change the change
	 */
	void apply(ReplicaChange change) {
		if (change.other() != ReplicaChange.NONE) {
			apply(change.other(), change.otherAddedTo(), change.otherRemovedFrom());
		}
		apply(change.expert(), change.addedTo(), change.removedFrom());
	}

	// Adds before it removes: the last replica of an expert must not be removed.
	private void apply(int expert, int addedTo, int removedFrom) {
		if (addedTo >= 0) {
			update(addedTo, expert, true);
		}
		if (removedFrom >= 0) {
			update(removedFrom, expert, false);
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
		double delta = sign * loadPerReplica(expert);
		for (int index = 0; index < this.replicas[expert]; index++) {
			int rank = this.holders[expert][index];
			this.imbalance -= sixthPower(this.load[rank]);
			this.load[rank] += delta;
			this.imbalance += sixthPower(this.load[rank]);
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
	 * Returns the number of experts that ranks would copy for a change.
	 * @param change the change
	 * @return the number of replicas that were not there initially
	 */
	int copies(ReplicaChange change) {
		int copies = (change.addedTo() >= 0 && isNew(change.addedTo(), change.expert())) ? 1 : 0;
		return copies + ((change.otherAddedTo() >= 0 && isNew(change.otherAddedTo(), change.other())) ? 1 : 0);
	}

	/**
	 * Returns the change of the number of new experts of a rank that receives a replica.
	 * @param change the change
	 * @param rank the rank
	 * @return the change of {@link #newExpertCount}
	 */
	int newExpertDelta(ReplicaChange change, int rank) {
		int delta = 0;
		if (rank == change.addedTo() || rank == change.removedFrom()) {
			delta += isNew(rank, change.expert()) ? ((rank == change.addedTo()) ? 1 : -1) : 0;
		}
		if (change.other() != ReplicaChange.NONE
				&& (rank == change.otherAddedTo() || rank == change.otherRemovedFrom())) {
			delta += isNew(rank, change.other()) ? ((rank == change.otherAddedTo()) ? 1 : -1) : 0;
		}
		return delta;
	}

}
