package io.bulrushrouter.experts.live;

import java.util.Optional;

/**
 * Decides when a group gets another map and which: one that follows the demand seen, and
 * is worth its copies. Not thread-safe.
 */
public final class MapPolicy {

	/** Choices of a set that a plan needs to rest on. */
	private static final double MIN_CHOICES = 3_000;

	/**
	 * The longest that one plan's copies may take at a rank; demand turns within seconds.
	 */
	private static final double MAX_COPY_SECONDS = 1.3;

	private final int slotsPerSet;

	private final int maxCopiesPerSet;

	private final double secondsPerCopy;

	private final DemandTracker demand;

	/**
	 * Creates a policy that has seen no demand.
	 * @param sets the sets of layers
	 * @param experts the experts of a set
	 * @param places the experts of a set that a rank has room for
	 * @param newOfSet the experts of a set that a rank may copy for one plan
	 * @param secondsForCopy the time that a rank needs to copy one expert
	 */
	public MapPolicy(int sets, int experts, int places, int newOfSet, double secondsForCopy) {
		this.slotsPerSet = places;
		this.maxCopiesPerSet = newOfSet;
		this.secondsPerCopy = secondsForCopy;
		this.demand = new DemandTracker(sets, experts);
	}

	/**
	 * Takes the running counts of one rank.
	 * @param epoch the group's epoch
	 * @param rank the rank
	 * @param counts how often each expert was chosen since the rank started, by set and
	 * expert
	 * @param nowMillis the time
	 */
	public void observe(long epoch, int rank, long[] counts, long nowMillis) {
		this.demand.observe(epoch, rank, counts, nowMillis);
	}

	/**
	 * Returns the map to switch to.
	 * @param inUse the map in use, by set and rank
	 * @param occupancy the part of the group's slots that are taken, 0 to 1
	 * @return the plan, or empty if none is worth its copies
	 */
	public Optional<PlacementPlan> worthwhilePlan(int[][][] inUse, double occupancy) {
		if (this.demand.totalChoices() < MIN_CHOICES) {
			return Optional.empty();
		}
		double minGain = CopyThreshold.minGain(occupancy, this.secondsPerCopy);
		int maxCopiesPerRank = Math.max(1, (int) (MAX_COPY_SECONDS / this.secondsPerCopy));
		PlacementPlan plan = PlacementPlanner.cheapest(inUse, this.demand.loads(),
				new PlacementLimits(this.slotsPerSet, this.maxCopiesPerSet, maxCopiesPerRank), minGain,
				this.secondsPerCopy);
		return plan.worthwhile(this.secondsPerCopy, minGain) ? Optional.of(plan) : Optional.empty();
	}

}
