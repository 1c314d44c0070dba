package io.bulrushrouter.bench.groupmaps;

import java.util.Optional;

import io.bulrushrouter.experts.live.Demand;
import io.bulrushrouter.experts.live.MapPolicy;
import io.bulrushrouter.experts.live.PlacementLimits;
import io.bulrushrouter.experts.live.PlacementPlan;
import io.bulrushrouter.experts.live.PlacementPlanner;

/**
 * A rule for when a group gets which map.
 */
interface MapRule {

	/** How full the group is taken to be: between nearly idle and nearly full. */
	double OCCUPANCY = 0.6;

	/** A gain that is next to nothing but keeps plans from exchanging equals. */
	double MIN_GAIN = 1e-4;

	/**
	 * Takes running counts.
	 * @param counts the counts by set and expert, flat
	 * @param nowMillis the time
	 */
	default void observe(long[] counts, long nowMillis) {
	}

	/**
	 * Plans from what was seen, while no switch is under way.
	 * @param inUse the map in use
	 * @return the plan to switch to, if any
	 */
	default Optional<PlacementPlan> plan(int[][][] inUse) {
		return Optional.empty();
	}

	/**
	 * Plans for the demand that begins now, of which the weights were copied before.
	 * @param inUse the map in use
	 * @param shares the demand until the next turn
	 * @return the plan that is in use from now on, if any
	 */
	default Optional<PlacementPlan> planAhead(int[][][] inUse, double[][] shares) {
		return Optional.empty();
	}

	/**
	 * The map of the start for ever.
	 * @return the rule
	 */
	static MapRule ofInitialMap() {
		return new MapRule() {
		};
	}

	/**
	 * The product's policy.
	 * @param parameters the group
	 * @return the rule
	 */
	static MapRule ofPolicy(GroupParameters parameters) {
		MapPolicy policy = new MapPolicy(parameters.layerSets(), parameters.experts(), parameters.slots(),
				parameters.maxCopies(), parameters.copySeconds());
		return new MapRule() {
			@Override
			public void observe(long[] counts, long nowMillis) {
				policy.observe(1, 0, counts, nowMillis);
			}

			@Override
			public Optional<PlacementPlan> plan(int[][][] inUse) {
				return policy.paying(inUse, OCCUPANCY);
			}
		};
	}

	/**
	 * Whenever a map is better by the newest counts, it is switched to.
	 * @param parameters the group
	 * @return the rule
	 */
	static MapRule ofReplanning(GroupParameters parameters) {
		Demand demand = new Demand(parameters.layerSets(), parameters.experts());
		PlacementLimits limits = new PlacementLimits(parameters.slots(), parameters.maxCopies(),
				parameters.maxCopies() * parameters.layerSets());
		return new MapRule() {
			@Override
			public void observe(long[] counts, long nowMillis) {
				demand.observe(1, 0, counts, nowMillis);
			}

			@Override
			public Optional<PlacementPlan> plan(int[][][] inUse) {
				PlacementPlan plan = new PlacementPlanner(limits, MIN_GAIN).plan(inUse, demand.loads());
				return Optional.of(plan).filter((made) -> made.copies() > 0 && made.skewAfter() < made.skewBefore());
			}
		};
	}

	/**
	 * Knows each turn and copies before it.
	 * @param parameters the group
	 * @param shiftIntervalSeconds the time between turns
	 * @return the rule
	 */
	static MapRule ofOracle(GroupParameters parameters, double shiftIntervalSeconds) {
		int copyLimit = Math.max(1, (int) (shiftIntervalSeconds / parameters.copySeconds()));
		return new MapRule() {
			@Override
			public Optional<PlacementPlan> planAhead(int[][][] inUse, double[][] shares) {
				PlacementPlan best = null;
				for (int copies = 1; copies <= copyLimit; copies *= 2) {
					PlacementLimits limits = new PlacementLimits(parameters.slots(), parameters.slots(), copies);
					PlacementPlan plan = new PlacementPlanner(limits, MIN_GAIN).plan(inUse, shares);
					if (best == null || seconds(plan) < seconds(best)) {
						best = plan;
					}
				}
				return Optional.ofNullable(best).filter((made) -> made.copies() > 0);
			}

			// What the passes of a turn take, with the slower ones while weights are
			// copied.
			private double seconds(PlacementPlan plan) {
				double copying = Math.min(1, plan.mostCopies() * parameters.copySeconds() / shiftIntervalSeconds);
				return copying * parameters.passSeconds(plan.skewAfter(), true)
						+ (1 - copying) * parameters.passSeconds(plan.skewAfter(), false);
			}
		};
	}

}
