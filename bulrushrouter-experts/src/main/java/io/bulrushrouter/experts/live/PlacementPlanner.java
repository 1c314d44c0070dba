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
	private static final double GOOD_SKEW = 1.03;

	/** Experts of the most loaded rank that are looked at, and ranks that take them. */
	private static final int WIDTH = 6;

	private static final int MOST_CHANGES = 400;

	/** Plans of more copies that are tried after one that did not cost less. */
	private static final int MOST_WORSE = 3;

	private final PlacementLimits limits;

	private final double leastGain;

	/**
	 * Creates a planner.
	 * @param limits what one plan may do
	 * @param leastGain the gain of the skew's mean over sets that a copy must bring
	 */
	public PlacementPlanner(PlacementLimits limits, double leastGain) {
		this.limits = limits;
		this.leastGain = leastGain;
	}

	/**
	 * Plans with more and with fewer copies, and returns the plan that costs least.
	 * @param inUse the map in use, by set and rank
	 * @param demand the demand, by set and expert
	 * @param limits what one plan may do at most
	 * @param leastGain the gain of the skew's mean over sets that a copy must bring
	 * @param secondsForCopy the time that a rank needs to copy one expert
	 * @return the plan
	 */
	public static PlacementPlan cheapest(int[][][] inUse, double[][] demand, PlacementLimits limits, double leastGain,
			double secondsForCopy) {
		PlacementPlan best = null;
		int copiesOfBest = 0;
		for (int copies = 1; copies <= limits.newOfRank(); copies++) {
			PlacementLimits fewer = new PlacementLimits(limits.places(), limits.newOfSet(), copies);
			PlacementPlan plan = new PlacementPlanner(fewer, leastGain).plan(inUse, demand);
			if (best == null || plan.cost(secondsForCopy) < best.cost(secondsForCopy)) {
				best = plan;
				copiesOfBest = copies;
			}
			boolean settled = plan.mostCopies() < copies || copies >= copiesOfBest + MOST_WORSE;
			if (settled) {
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
		boolean[] done = new boolean[sets.length];
		for (int change = 0; change < MOST_CHANGES; change++) {
			int worst = worst(sets, done);
			if (worst < 0) {
				break;
			}
			done[worst] = !improve(sets, worst);
		}
		int[][][] experts = new int[sets.length][][];
		int copies = 0;
		int mostCopies = 0;
		for (int set = 0; set < sets.length; set++) {
			experts[set] = sets[set].experts();
		}
		for (int rank = 0; rank < sets[0].ranks(); rank++) {
			int ofRank = copiesOfRank(sets, rank);
			copies += ofRank;
			mostCopies = Math.max(mostCopies, ofRank);
		}
		return new PlacementPlan(experts, copies, mostCopies, before, meanSkew(sets));
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

	private static int worst(SetPlacement[] sets, boolean[] done) {
		int worst = -1;
		for (int set = 0; set < sets.length; set++) {
			if (!done[set] && sets[set].skew() > GOOD_SKEW && (worst < 0 || sets[set].skew() > sets[worst].skew())) {
				worst = set;
			}
		}
		return worst;
	}

	private boolean improve(SetPlacement[] sets, int set) {
		SetPlacement placement = sets[set];
		double before = placement.roughness();
		Change best = null;
		double bestWorth = this.leastGain * sets.length;
		for (Change change : changes(sets, set)) {
			placement.apply(change);
			double after = placement.roughness();
			boolean allowed = withinLimits(sets, set, change);
			placement.revert(change);
			double worth = (root(before) - root(after)) / Math.max(0.5, copies(placement, change));
			if (allowed && worth > bestWorth) {
				best = change;
				bestWorth = worth;
			}
		}
		if (best != null) {
			placement.apply(best);
		}
		return best != null;
	}

	private static double root(double roughness) {
		return Math.pow(roughness, 1.0 / 6);
	}

	private static int copies(SetPlacement placement, Change change) {
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
			if (step.added() && (sets[set].newExperts(step.rank()) > this.limits.newOfSet()
					|| copiesOfRank(sets, step.rank()) > this.limits.newOfRank())) {
				return false;
			}
		}
		return true;
	}

	private static int copiesOfRank(SetPlacement[] sets, int rank) {
		int copies = 0;
		for (SetPlacement set : sets) {
			copies += set.newExperts(rank);
		}
		return copies;
	}

	private List<Change> changes(SetPlacement[] sets, int set) {
		SetPlacement placement = sets[set];
		int from = placement.mostLoaded();
		List<Change> changes = new ArrayList<>();
		List<Integer> heaviest = IntStream.of(placement.held(from))
			.boxed()
			.sorted(Comparator.comparingDouble((Integer expert) -> -placement.part(expert)))
			.limit(WIDTH)
			.toList();
		List<Integer> lightest = IntStream.range(0, placement.ranks())
			.boxed()
			.filter((rank) -> rank != from)
			.sorted(Comparator.comparingDouble(placement::load))
			.limit(WIDTH)
			.toList();
		for (int to : lightest) {
			int[] heldThere = placement.held(to);
			for (int expert : heaviest) {
				if (!placement.holds(to, expert)) {
					addChanges(placement, from, to, expert, heldThere, changes);
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

	private void addChanges(SetPlacement placement, int from, int to, int expert, int[] heldThere,
			List<Change> changes) {
		Step gets = new Step(to, expert, true);
		Step leaves = new Step(from, expert, false);
		if (placement.heldCount(to) < this.limits.places()) {
			changes.add(Change.of(gets));
			changes.add(Change.of(gets, leaves));
		}
		for (int other : heldThere) {
			Step makesRoom = new Step(to, other, false);
			if (placement.replicas(other) > 1) {
				changes.add(Change.of(makesRoom, gets));
				changes.add(Change.of(makesRoom, gets, leaves));
			}
			else if (placement.part(other) < placement.part(expert) && !placement.holds(from, other)) {
				changes.add(Change.of(leaves, makesRoom, gets, new Step(from, other, true)));
			}
		}
	}

}
