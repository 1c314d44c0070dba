package io.bulrushrouter.experts.live;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.stream.IntStream;

import io.bulrushrouter.experts.live.SetPlacement.Change;
import io.bulrushrouter.experts.live.SetPlacement.Change.Step;

/**
 * Plans the next map of a group whose ranks share an expert's tokens evenly. From the map
 * in use it takes work off the most loaded rank of the set that needs it most, one change
 * at a time: an expert gets a further replica, moves, or is exchanged. Each change is
 * worth its copies; a plan stays within what ranks may copy.
 */
public final class PlacementPlanner {

	/** A set below this skew is left as it is. */
	private static final double BALANCED_SKEW = 1.03;

	/** Experts of the most loaded rank that are looked at, and ranks that take them. */
	private static final int MAX_CANDIDATES = 6;

	private static final int MAX_CHANGES = 400;

	/** Plans of more copies that are tried after one that did not cost less. */
	private static final int MAX_UNIMPROVED_PLANS = 3;

	private final PlacementLimits limits;

	private final double minGainPerCopy;

	/**
	 * Creates a planner.
	 * @param limits what one plan may do
	 * @param leastGain the gain of the skew's mean over sets that a copy must bring
	 */
	public PlacementPlanner(PlacementLimits limits, double leastGain) {
		this.limits = limits;
		this.minGainPerCopy = leastGain;
	}

	/**
	 * Plans with more and with fewer copies, and returns the plan that costs least.
	 * @param inUse the map in use, by set and rank
	 * @param demand the demand, by set and expert
	 * @param limits what one plan may do at most
	 * @param minGainPerCopy the gain of the skew's mean over sets that a copy must bring
	 * @param secondsPerCopy the time that a rank needs to copy one expert
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
	 * Plans.
	 * @param inUse the map in use, by set and rank
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
	 * Returns the load of the most loaded rank on a map.
	 * @param map the map, by set and rank
	 * @param demand the demand, by set and expert
	 * @return in parts of the mean, as a mean over sets
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
		List<Integer> heaviest = IntStream.of(placement.heldCounts(from))
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
			int[] targetExperts = placement.heldCounts(to);
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
