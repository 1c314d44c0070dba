package io.bulrushrouter.experts.live;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.stream.IntStream;

import io.bulrushrouter.experts.live.SetPlacement.Change;
import io.bulrushrouter.experts.live.SetPlacement.Change.Step;

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

	private static final int MAX_CHANGES = 400;

	/**
	 * The number of plans with more copies to try without finding one that costs less.
	 */
	private static final int MAX_UNIMPROVED_PLANS = 3;

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
	 * Creates plans with an increasing limit of copies per rank and returns the plan of
	 * lowest cost.
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
		PlacementPlan best = null;
		int copiesOfBest = 0;
		for (int copies = 1; copies <= limits.maxCopiesPerRank(); copies++) {
			PlacementLimits reduced = new PlacementLimits(limits.slotsPerSet(), limits.maxCopiesPerSet(), copies);
			PlacementPlan plan = new PlacementPlanner(reduced, minGainPerCopy).plan(inUse, demand);
			if (best == null || plan.cost(secondsPerCopy) < best.cost(secondsPerCopy)) {
				best = plan;
				copiesOfBest = copies;
			}
			boolean finished = plan.maxCopiesPerRank() < copies || copies >= copiesOfBest + MAX_UNIMPROVED_PLANS;
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
		SetPlacement[] sets = placements(inUse, demand);
		double before = meanSkew(sets);
		boolean[] exhausted = new boolean[sets.length];
		for (int change = 0; change < MAX_CHANGES; change++) {
			int worst = mostSkewedSet(sets, exhausted);
			if (worst < 0) {
				break;
			}
			exhausted[worst] = !applyBestChange(sets, worst);
		}
		int[][][] experts = new int[sets.length][][];
		int copies = 0;
		int maxCopies = 0;
		for (int set = 0; set < sets.length; set++) {
			experts[set] = sets[set].experts();
		}
		for (int rank = 0; rank < sets[0].ranks(); rank++) {
			int rankCopies = copiesOfRank(sets, rank);
			copies += rankCopies;
			maxCopies = Math.max(maxCopies, rankCopies);
		}
		return new PlacementPlan(experts, copies, maxCopies, before, meanSkew(sets));
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

	private static int mostSkewedSet(SetPlacement[] sets, boolean[] exhausted) {
		int worst = -1;
		for (int set = 0; set < sets.length; set++) {
			if (!exhausted[set] && sets[set].skew() > BALANCED_SKEW
					&& (worst < 0 || sets[set].skew() > sets[worst].skew())) {
				worst = set;
			}
		}
		return worst;
	}

	private boolean applyBestChange(SetPlacement[] sets, int set) {
		SetPlacement placement = sets[set];
		double before = placement.imbalance();
		Change best = null;
		double bestGainPerCopy = this.minGainPerCopy * sets.length;
		for (Change change : candidateChanges(sets, set)) {
			placement.apply(change);
			double after = placement.imbalance();
			boolean allowed = withinLimits(sets, set, change);
			placement.revert(change);
			double gainPerCopy = (sixthRoot(before) - sixthRoot(after)) / Math.max(0.5, countCopies(placement, change));
			if (allowed && gainPerCopy > bestGainPerCopy) {
				best = change;
				bestGainPerCopy = gainPerCopy;
			}
		}
		if (best != null) {
			placement.apply(best);
		}
		return best != null;
	}

	private static double sixthRoot(double imbalance) {
		return Math.pow(imbalance, 1.0 / 6);
	}

	private static int countCopies(SetPlacement placement, Change change) {
		int copies = 0;
		for (Step step : change.steps()) {
			if (step.added() && placement.isNew(step.rank(), step.expert())) {
				copies++;
			}
		}
		return copies;
	}

	private boolean withinLimits(SetPlacement[] sets, int set, Change change) {
		for (Step step : change.steps()) {
			if (step.added() && (sets[set].newExpertCount(step.rank()) > this.limits.maxCopiesPerSet()
					|| copiesOfRank(sets, step.rank()) > this.limits.maxCopiesPerRank())) {
				return false;
			}
		}
		return true;
	}

	private static int copiesOfRank(SetPlacement[] sets, int rank) {
		int copies = 0;
		for (SetPlacement set : sets) {
			copies += set.newExpertCount(rank);
		}
		return copies;
	}

	private List<Change> candidateChanges(SetPlacement[] sets, int set) {
		SetPlacement placement = sets[set];
		int from = placement.mostLoadedRank();
		List<Change> changes = new ArrayList<>();
		List<Integer> heaviest = IntStream.of(placement.expertsOf(from))
			.boxed()
			.sorted(Comparator.comparingDouble((Integer expert) -> -placement.loadPerReplica(expert)))
			.limit(MAX_CANDIDATES)
			.toList();
		List<Integer> lightest = IntStream.range(0, placement.ranks())
			.boxed()
			.filter((rank) -> rank != from)
			.sorted(Comparator.comparingDouble(placement::load))
			.limit(MAX_CANDIDATES)
			.toList();
		for (int to : lightest) {
			int[] targetExperts = placement.expertsOf(to);
			for (int expert : heaviest) {
				if (!placement.holds(to, expert)) {
					addChanges(placement, from, to, expert, targetExperts, changes);
				}
			}
		}
		for (int expert : heaviest) {
			if (placement.replicas(expert) > 1) {
				changes.add(Change.of(new Step(from, expert, false)));
			}
		}
		return changes;
	}

	private void addChanges(SetPlacement placement, int from, int to, int expert, int[] targetExperts,
			List<Change> changes) {
		Step addition = new Step(to, expert, true);
		Step removal = new Step(from, expert, false);
		if (placement.heldCount(to) < this.limits.slotsPerSet()) {
			changes.add(Change.of(addition));
			changes.add(Change.of(addition, removal));
		}
		for (int other : targetExperts) {
			Step eviction = new Step(to, other, false);
			if (placement.replicas(other) > 1) {
				changes.add(Change.of(eviction, addition));
				changes.add(Change.of(eviction, addition, removal));
			}
			else if (placement.loadPerReplica(other) < placement.loadPerReplica(expert)
					&& !placement.holds(from, other)) {
				changes.add(Change.of(removal, eviction, addition, new Step(from, other, true)));
			}
		}
	}

}
