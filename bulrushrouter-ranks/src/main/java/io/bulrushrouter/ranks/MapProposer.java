package io.bulrushrouter.ranks;

import java.util.List;
import java.util.Optional;
import java.util.concurrent.TimeUnit;

import io.bulrushrouter.experts.live.ChoiceSample;
import io.bulrushrouter.experts.live.GroupView;
import io.bulrushrouter.experts.live.MapPolicy;
import io.bulrushrouter.experts.live.PlacementPlan;
import io.bulrushrouter.gateway.config.EngineSpec;
import io.bulrushrouter.gateway.config.ExpertSpec;
import io.bulrushrouter.kernel.TimeSource;

/**
 * Proposes expert maps from the choices that the ranks report and the parameters of the
 * engines.
 */
final class MapProposer {

	/**
	 * Planning takes at most one sixth of the elapsed time, as a plan for a large group
	 * needs much processor time.
	 */
	private static final int PLANNING_TIME_DIVISOR = 6;

	private final TimeSource clock;

	private MapPolicy policy;

	private long nextPlanNanos;

	MapProposer(TimeSource clock) {
		this.clock = clock;
		this.nextPlanNanos = clock.nanos();
	}

	/**
	 * Records one collection of choices.
	 * @param experts the expert parameters of the engines
	 * @param parts the samples of the collection, each of other ranks
	 */
	void observe(ExpertSpec experts, List<ChoiceSample> parts) {
		if (this.policy == null) {
			this.policy = new MapPolicy(experts.layerSets(), experts.experts(), experts.expertSlots(),
					experts.spareSlots(), experts.copySeconds());
		}
		this.policy.observe(parts, TimeUnit.NANOSECONDS.toMillis(this.clock.nanos()));
	}

	/**
	 * Returns a plan whose gain exceeds the cost of copying its experts.
	 * @param engineSpec the parameters of the engines
	 * @param view the statuses of the ranks
	 * @param mapInUse the experts of the map in use, by set and rank
	 * @return the plan, or empty if no plan is profitable or the next planning is not due
	 */
	Optional<PlacementPlan> profitablePlan(EngineSpec engineSpec, GroupView view, int[][][] mapInUse) {
		long startNanos = this.clock.nanos();
		if (this.policy == null || startNanos - this.nextPlanNanos < 0) {
			return Optional.empty();
		}
		double occupancy = view.running() / (double) (view.size() * engineSpec.slots());
		Optional<PlacementPlan> plan = this.policy.worthwhilePlan(mapInUse, occupancy);
		long endNanos = this.clock.nanos();
		this.nextPlanNanos = endNanos + (PLANNING_TIME_DIVISOR - 1) * (endNanos - startNanos);
		return plan;
	}

}
