package io.bulrushrouter.bench.groupmaps;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;

import io.bulrushrouter.experts.live.ChoiceCounter;
import io.bulrushrouter.experts.live.ChoiceSample;
import io.bulrushrouter.experts.live.DemandTracker;
import io.bulrushrouter.experts.live.MapPolicy;
import io.bulrushrouter.experts.live.PlacementLimits;
import io.bulrushrouter.experts.live.PlacementPlan;
import io.bulrushrouter.experts.live.PlacementPlanner;

/**
 * Decides when a group switches to which expert map.
 */
interface MapRule {

	/** The assumed occupancy of the group, between nearly idle and nearly full. */
	double OCCUPANCY = 0.6;

	/** A negligible gain that keeps plans from swapping experts of equal load. */
	double MIN_GAIN = 1e-4;

	/**
	 * Records cumulative counts.
	 * @param counts the counts of each part of the ranks, by layer set and expert,
	 * flattened
	 * @param nowMillis the current time in milliseconds
	 */
	default void observe(List<long[]> counts, long nowMillis) {
	}

	/**
	 * Plans from the observed counts while no switch is in progress.
	 * @param inUse the map in use
	 * @return the plan to switch to, or empty to keep the map
	 */
	default Optional<PlacementPlan> plan(int[][][] inUse) {
		return Optional.empty();
	}

	/**
	 * Plans for the demand that begins now, with weights that were copied in advance.
	 * @param inUse the map in use
	 * @param shares the demand until the next shift
	 * @return the plan that takes effect now, or empty to keep the map
	 */
	default Optional<PlacementPlan> planAhead(int[][][] inUse, double[][] shares) {
		return Optional.empty();
	}

	/**
	 * Returns a rule that always keeps the initial map.
	 * @return the rule
	 */
	static MapRule ofInitialMap() {
		return new MapRule() {
		};
	}

	/**
	 * Returns the rule that applies {@link MapPolicy}, the policy of the balancer.
	 * @param parameters the group parameters
	 * @return the rule
	 */
	static MapRule ofPolicy(GroupParameters parameters) {
		MapPolicy policy = new MapPolicy(parameters.layerSets(), parameters.experts(), parameters.slots(),
				parameters.maxCopies(), parameters.copySeconds());
		ChoiceCounters counters = new ChoiceCounters();
		return new MapRule() {
			@Override
			public void observe(List<long[]> counts, long nowMillis) {
				policy.observe(counters.read(counts, nowMillis), nowMillis);
			}

			@Override
			public Optional<PlacementPlan> plan(int[][][] inUse) {
				return policy.worthwhilePlan(inUse, OCCUPANCY);
			}
		};
	}

	/**
	 * Returns a rule that switches whenever another map is better by the latest counts.
	 * @param parameters the group parameters
	 * @return the rule
	 */
	static MapRule ofReplanning(GroupParameters parameters) {
		DemandTracker demand = new DemandTracker(parameters.layerSets(), parameters.experts());
		PlacementLimits limits = new PlacementLimits(parameters.slots(), parameters.maxCopies(),
				parameters.maxCopies() * parameters.layerSets());
		ChoiceCounters counters = new ChoiceCounters();
		return new MapRule() {
			@Override
			public void observe(List<long[]> counts, long nowMillis) {
				demand.observe(counters.read(counts, nowMillis), nowMillis);
			}

			@Override
			public Optional<PlacementPlan> plan(int[][][] inUse) {
				PlacementPlan plan = new PlacementPlanner(limits, MIN_GAIN).plan(inUse, demand.loads());
				return Optional.of(plan)
					.filter((candidate) -> candidate.copies() > 0 && candidate.skewAfter() < candidate.skewBefore());
			}
		};
	}

	/**
	 * Returns a rule that knows each shift of demand and copies weights in advance.
	 * @param parameters the group parameters
	 * @param shiftIntervalSeconds the time between shifts in seconds
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
				return Optional.ofNullable(best).filter((candidate) -> candidate.copies() > 0);
			}

			// Mean pass duration between shifts, including slower passes during copies.
			private double seconds(PlacementPlan plan) {
				double copying = Math.min(1, plan.maxCopiesPerRank() * parameters.copySeconds() / shiftIntervalSeconds);
				return copying * parameters.passSeconds(plan.skewAfter(), true)
						+ (1 - copying) * parameters.passSeconds(plan.skewAfter(), false);
			}
		};
	}

	/**
	 * Reads the choices of several parts from their cumulative counts.
	 */
	final class ChoiceCounters {

		private static final long EPOCH = 1;

		private final List<ChoiceCounter> counters = new ArrayList<>();

		private List<ChoiceSample> read(List<long[]> counts, long nowMillis) {
			List<ChoiceSample> samples = new ArrayList<>();
			for (int part = 0; part < counts.size(); part++) {
				if (part == this.counters.size()) {
					this.counters.add(new ChoiceCounter());
				}
				this.counters.get(part).read(EPOCH, counts.get(part), nowMillis).ifPresent(samples::add);
			}
			return samples;
		}

	}

}
