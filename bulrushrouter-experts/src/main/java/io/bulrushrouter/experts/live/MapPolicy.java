package io.bulrushrouter.experts.live;

import java.util.List;
import java.util.Optional;

/**
 * Decides when a group switches to another expert map, and to which. A map is chosen by
 * the observed demand, and only if the improvement outweighs the cost of copying weights.
 * Not thread-safe.
 */
public final class MapPolicy {

	/** The minimum number of expert choices, weighted by age, that a plan is based on. */
	private static final double MIN_CHOICES = 3_000;

	/**
	 * The maximum copy time of one plan at a rank: demand changes within seconds.
	 */
	private static final double MAX_COPY_SECONDS = 1.3;

	private final int slotsPerSet;

	private final int maxCopiesPerSet;

	private final double secondsPerCopy;

	private final DemandTracker demand;

	/**
	 * Creates a policy without observed demand.
	 * @param sets the number of layer sets
	 * @param experts the number of experts per set
	 * @param slotsPerSet the maximum number of experts of a set that a rank can hold
	 * @param maxCopiesPerSet the maximum number of experts of a set that a rank copies
	 * for one plan
	 * @param secondsPerCopy the time that a rank needs to copy one expert, in seconds
	 */
	public MapPolicy(int sets, int experts, int slotsPerSet, int maxCopiesPerSet, double secondsPerCopy) {
		this.slotsPerSet = slotsPerSet;
		this.maxCopiesPerSet = maxCopiesPerSet;
		this.secondsPerCopy = secondsPerCopy;
		this.demand = new DemandTracker(sets, experts);
	}

	/**
	 * Records one collection of choices.
	 * @param parts the samples of the collection, each of other ranks
	 * @param nowMillis the current time, in milliseconds
	 */
	public void observe(List<ChoiceSample> parts, long nowMillis) {
		this.demand.observe(parts, nowMillis);
	}

	/**
	 * Returns a plan that is worth switching to.
	 * @param inUse the experts of the map in use, by set and rank
	 * @param occupancy the fraction of the group's request slots in use, from 0 to 1
	 * @return the plan, or empty if too little demand was observed or no plan is worth
	 * its copies
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
