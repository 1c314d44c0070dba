package io.bulrushrouter.experts.live;

import java.util.Arrays;
import java.util.function.IntToDoubleFunction;

/**
 * Plans the next expert map of a group in which the replicas of an expert share its
 * tokens evenly. Starting from the map in use, a greedy search repeatedly relieves the
 * most loaded rank of the most skewed set by one change: it adds or drops a replica,
 * moves an expert, or exchanges two experts. Each change must gain enough for its copies,
 * and a plan stays within the copy limits of the ranks.
 */
public final class PlacementPlanner {

	/** The skew up to which a set is left unchanged. */
	private static final double BALANCED_SKEW = 1.03;

	/**
	 * The maximum number of experts of the most loaded rank, and of target ranks, to try.
	 */
	private static final int MAX_CANDIDATES = 6;

	/** The maximum number of changes for each rank and set. */
	private static final int MAX_CHANGES_PER_RANK = 2;

	/**
	 * The number of copies a rank by which a plan is extended without finding one that
	 * costs less.
	 */
	private static final int MAX_UNIMPROVED_EXTENSIONS = 3;

	private final PlacementLimits limits;

	private final double minGainPerCopy;

	/**
	 * Creates a planner.
	 * @param limits the limits of each plan
	 * @param minGainPerCopy the minimum reduction per copy of the skew, as a mean over
	 * sets
	 */
	public PlacementPlanner(PlacementLimits limits, double minGainPerCopy) {
		this.limits = limits;
		this.minGainPerCopy = minGainPerCopy;
	}

	/**
	 * Creates a plan with one copy per rank, extends it by one more copy per rank at a
	 * time and returns the plan of lowest cost.
	 * @param inUse the experts of the map in use, by set and rank
	 * @param demand the demand, by set and expert
	 * @param limits the limits of each plan
	 * @param minGainPerCopy the minimum reduction per copy of the skew, as a mean over
	 * sets
	 * @param secondsPerCopy the time that a rank needs to copy one expert, in seconds
	 * @return the plan
	 */
	public static PlacementPlan cheapest(int[][][] inUse, double[][] demand, PlacementLimits limits,
			double minGainPerCopy, double secondsPerCopy) {
		Draft draft = new PlacementPlanner(limits, minGainPerCopy).new Draft(inUse, demand);
		PlacementPlan best = null;
		int copiesOfBest = 0;
		for (int copies = 1; copies <= limits.maxCopiesPerRank(); copies++) {
			draft.extend(copies);
			if (best == null || draft.cost(secondsPerCopy) < best.cost(secondsPerCopy)) {
				best = draft.plan();
				copiesOfBest = copies;
			}
			boolean finished = draft.maxCopies() < copies || copies >= copiesOfBest + MAX_UNIMPROVED_EXTENSIONS;
			if (finished) {
				break;
			}
		}
		return best;
	}

	/**
	 * Creates a plan.
	 * @param inUse the experts of the map in use, by set and rank
	 * @param demand the demand, by set and expert
	 * @return the plan
	 */
	public PlacementPlan plan(int[][][] inUse, double[][] demand) {
		Draft draft = new Draft(inUse, demand);
		draft.extend(this.limits.maxCopiesPerRank());
		return draft.plan();
	}

	/**
	 * Returns the skew of a map: the load of the most loaded rank over the mean load.
	 * @param map the experts of each rank, by set and rank
	 * @param demand the demand, by set and expert
	 * @return the skew, averaged over sets
	 */
	public static double skew(int[][][] map, double[][] demand) {
		return meanSkew(placements(map, demand));
	}

	private static SetPlacement[] placements(int[][][] map, double[][] demand) {
		SetPlacement[] sets = new SetPlacement[map.length];
		for (int set = 0; set < sets.length; set++) {
			sets[set] = new SetPlacement(map[set], demand[set]);
		}
		return sets;
	}

	private static double meanSkew(SetPlacement[] sets) {
		double sum = 0;
		for (SetPlacement set : sets) {
			sum += set.skew();
		}
		return sum / sets.length;
	}

	private static double sixthRoot(double imbalance) {
		return Math.pow(imbalance, 1.0 / 6);
	}

	/**
	 * A plan that is extended step by step.
	 */
	private final class Draft {

		private final SetPlacement[] sets;

		private final double skewBefore;

		private final int[] copiesOfRank;

		private int maxCopiesPerRank;

		private int changesLeft;

		private ReplicaChange best;

		private double bestGainPerCopy;

		private double rootBefore;

		private Draft(int[][][] inUse, double[][] demand) {
			this.sets = placements(inUse, demand);
			this.skewBefore = meanSkew(this.sets);
			this.copiesOfRank = new int[this.sets[0].ranks()];
			this.changesLeft = MAX_CHANGES_PER_RANK * this.sets.length * this.sets[0].ranks();
		}

		/**
		 * Applies further changes as long as they gain enough.
		 * @param copiesPerRank the maximum number of copies of a rank from now on
		 */
		private void extend(int copiesPerRank) {
			this.maxCopiesPerRank = copiesPerRank;
			boolean[] exhausted = new boolean[this.sets.length];
			int worst = mostSkewedSet(exhausted);
			while (worst >= 0 && this.changesLeft > 0) {
				this.changesLeft--;
				exhausted[worst] = !applyBestChange(this.sets[worst]);
				worst = mostSkewedSet(exhausted);
			}
		}

		private PlacementPlan plan() {
			int[][][] experts = new int[this.sets.length][][];
			for (int set = 0; set < experts.length; set++) {
				experts[set] = this.sets[set].experts();
			}
			return new PlacementPlan(experts, Arrays.stream(this.copiesOfRank).sum(), maxCopies(), this.skewBefore,
					meanSkew(this.sets));
		}

		private int maxCopies() {
			return Arrays.stream(this.copiesOfRank).max().orElse(0);
		}

		private double cost(double secondsPerCopy) {
			return PlacementPlan.cost(this.skewBefore, meanSkew(this.sets), maxCopies() * secondsPerCopy);
		}

		private int mostSkewedSet(boolean[] exhausted) {
			int worst = -1;
			for (int set = 0; set < this.sets.length; set++) {
				if (!exhausted[set] && this.sets[set].skew() > BALANCED_SKEW
						&& (worst < 0 || this.sets[set].skew() > this.sets[worst].skew())) {
					worst = set;
				}
			}
			return worst;
		}

		private boolean applyBestChange(SetPlacement placement) {
			this.best = null;
			this.bestGainPerCopy = PlacementPlanner.this.minGainPerCopy * this.sets.length;
			this.rootBefore = sixthRoot(placement.imbalance());
			evaluateChanges(placement);
			if (this.best == null) {
				return false;
			}
			countCopies(placement, this.best.addedTo());
			countCopies(placement, this.best.removedFrom());
			placement.apply(this.best);
			return true;
		}

		// Both ranks of a change may gain and lose new experts.
		private void countCopies(SetPlacement placement, int rank) {
			if (rank >= 0) {
				this.copiesOfRank[rank] += placement.newExpertDelta(this.best, rank);
			}
		}

		private void evaluateChanges(SetPlacement placement) {
			int from = placement.mostLoadedRank();
			int[] heaviest = heaviestExperts(placement, from);
			for (int to : lightestRanks(placement, from)) {
				int[] targetExperts = placement.expertsOf(to);
				for (int expert : heaviest) {
					if (!placement.holds(to, expert)) {
						evaluateChanges(placement, from, to, expert, targetExperts);
					}
				}
			}
			for (int expert : heaviest) {
				if (placement.replicas(expert) > 1) {
					evaluate(placement, ReplicaChange.ofRemoval(expert, from));
				}
			}
		}

		private void evaluateChanges(SetPlacement placement, int from, int to, int expert, int[] targetExperts) {
			if (placement.heldCount(to) < PlacementPlanner.this.limits.slotsPerSet()) {
				evaluate(placement, ReplicaChange.ofAddition(expert, to));
				evaluate(placement, ReplicaChange.ofMove(expert, to, from));
			}
			for (int other : targetExperts) {
				if (placement.replicas(other) > 1) {
					evaluate(placement, ReplicaChange.ofEviction(expert, to, ReplicaChange.NONE, other));
					evaluate(placement, ReplicaChange.ofEviction(expert, to, from, other));
				}
				else if (placement.loadPerReplica(other) < placement.loadPerReplica(expert)
						&& !placement.holds(from, other)) {
					evaluate(placement, ReplicaChange.ofExchange(expert, to, from, other));
				}
			}
		}

		private void evaluate(SetPlacement placement, ReplicaChange change) {
			double after = placement.imbalanceAfter(change);
			if (after >= placement.imbalance()) {
				return;
			}
			double gainPerCopy = (this.rootBefore - sixthRoot(after)) / Math.max(0.5, placement.copies(change));
			if (gainPerCopy > this.bestGainPerCopy && withinLimits(placement, change)) {
				this.best = change;
				this.bestGainPerCopy = gainPerCopy;
			}
		}

		private boolean withinLimits(SetPlacement placement, ReplicaChange change) {
			return withinLimits(placement, change, change.addedTo())
					&& withinLimits(placement, change, change.otherAddedTo());
		}

		private boolean withinLimits(SetPlacement placement, ReplicaChange change, int rank) {
			if (rank < 0) {
				return true;
			}
			int delta = placement.newExpertDelta(change, rank);
			return placement.newExpertCount(rank) + delta <= PlacementPlanner.this.limits.maxCopiesPerSet()
					&& this.copiesOfRank[rank] + delta <= this.maxCopiesPerRank;
		}

		private int[] heaviestExperts(SetPlacement placement, int rank) {
			int[] experts = placement.expertsOf(rank);
			return first(experts, (expert) -> -placement.loadPerReplica(expert));
		}

		private int[] lightestRanks(SetPlacement placement, int excluded) {
			int[] ranks = new int[placement.ranks() - 1];
			for (int index = 0; index < ranks.length; index++) {
				ranks[index] = (index < excluded) ? index : index + 1;
			}
			return first(ranks, placement::load);
		}

		// Returns the candidates with the lowest keys, in ascending order.
		private static int[] first(int[] values, IntToDoubleFunction key) {
			int count = Math.min(MAX_CANDIDATES, values.length);
			for (int position = 0; position < count; position++) {
				int lowest = position;
				for (int index = position + 1; index < values.length; index++) {
					if (key.applyAsDouble(values[index]) < key.applyAsDouble(values[lowest])) {
						lowest = index;
					}
				}
				int value = values[lowest];
				values[lowest] = values[position];
				values[position] = value;
			}
			return Arrays.copyOf(values, count);
		}

	}

}
