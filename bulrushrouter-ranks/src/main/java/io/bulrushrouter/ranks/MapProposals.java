package io.bulrushrouter.ranks;

import java.util.List;
import java.util.Optional;
import java.util.concurrent.TimeUnit;

import io.bulrushrouter.experts.live.GroupView;
import io.bulrushrouter.experts.live.MapPolicy;
import io.bulrushrouter.experts.live.PlacementPlan;
import io.bulrushrouter.gateway.config.EngineSpec;
import io.bulrushrouter.gateway.config.ExpertSpec;
import io.bulrushrouter.kernel.TimeSource;

/**
 * Proposes maps to the process that balances a group, from the ranks' reports and the
 * engines' figures.
 */
final class MapProposals {

	/** Planning takes one part in so many of the time; large groups take long to plan. */
	private static final int PLANNING_SHARE = 6;

	private final TimeSource clock;

	private MapPolicy policy;

	private long planAgainNanos;

	MapProposals(TimeSource clock) {
		this.clock = clock;
		this.planAgainNanos = clock.nanos();
	}

	/**
	 * Takes the counts of the ranks.
	 * @param experts the engines' figures
	 * @param view the ranks
	 * @param reports the reports of the view's epoch
	 */
	void observe(ExpertSpec experts, GroupView view, List<RankReport> reports) {
		long nowMillis = TimeUnit.NANOSECONDS.toMillis(this.clock.nanos());
		if (this.policy == null) {
			this.policy = new MapPolicy(experts.sets(), experts.experts(), experts.places(), experts.spare(),
					experts.copySeconds());
		}
		for (RankReport report : reports) {
			if (report.counts().length > 0) {
				this.policy.observe(view.epoch(), report.status().rank(), report.counts(), nowMillis);
			}
		}
	}

	/**
	 * Returns the map to switch to.
	 * @param engine the engines' figures
	 * @param view the ranks
	 * @param inUse the map in use, by set and rank
	 * @return the plan, or empty if none is worth its copies or it is too soon to plan
	 */
	Optional<PlacementPlan> paying(EngineSpec engine, GroupView view, int[][][] inUse) {
		long startNanos = this.clock.nanos();
		if (this.policy == null || startNanos - this.planAgainNanos < 0) {
			return Optional.empty();
		}
		double occupancy = view.running() / (double) (view.size() * engine.slots());
		Optional<PlacementPlan> plan = this.policy.worthwhilePlan(inUse, occupancy);
		long endNanos = this.clock.nanos();
		this.planAgainNanos = endNanos + (PLANNING_SHARE - 1) * (endNanos - startNanos);
		return plan;
	}

}
