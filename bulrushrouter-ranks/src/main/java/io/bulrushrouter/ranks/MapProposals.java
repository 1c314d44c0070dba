package io.bulrushrouter.ranks;

import java.util.List;
import java.util.Optional;
import java.util.concurrent.TimeUnit;

import io.bulrushrouter.experts.live.CopyWorth;
import io.bulrushrouter.experts.live.Demand;
import io.bulrushrouter.experts.live.GroupView;
import io.bulrushrouter.experts.live.PlacementLimits;
import io.bulrushrouter.experts.live.PlacementPlan;
import io.bulrushrouter.experts.live.PlacementPlanner;
import io.bulrushrouter.gateway.config.EngineSpec;
import io.bulrushrouter.gateway.config.ExpertSpec;
import io.bulrushrouter.kernel.TimeSource;

/**
 * Proposes maps that follow the demand for experts.
 */
final class MapProposals {

	/** Choices of a set that a plan needs to rest on. */
	private static final double LEAST_CHOICES = 3_000;

	/**
	 * The longest that one plan's copies may take at a rank; demand turns within seconds.
	 */
	private static final double LONGEST_COPY_SECONDS = 1.3;

	/** Planning takes one part in so many of the time; large groups take long to plan. */
	private static final int PLANNING_SHARE = 6;

	private final TimeSource clock;

	private Demand demand;

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
		if (this.demand == null) {
			this.demand = new Demand(experts.sets(), experts.experts());
		}
		for (RankReport report : reports) {
			if (report.counts().length > 0) {
				this.demand.observe(view.epoch(), report.status().rank(), report.counts(), nowMillis);
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
		if (this.demand == null || this.demand.total() < LEAST_CHOICES || startNanos - this.planAgainNanos < 0) {
			return Optional.empty();
		}
		ExpertSpec experts = engine.experts().orElseThrow();
		double occupancy = view.running() / (double) (view.size() * engine.slots());
		double leastGain = CopyWorth.leastGain(occupancy, experts.copySeconds());
		int copies = Math.max(1, (int) (LONGEST_COPY_SECONDS / experts.copySeconds()));
		PlacementPlan plan = PlacementPlanner.cheapest(inUse, this.demand.loads(),
				new PlacementLimits(experts.places(), experts.spare(), copies), leastGain, experts.copySeconds());
		long endNanos = this.clock.nanos();
		this.planAgainNanos = endNanos + (PLANNING_SHARE - 1) * (endNanos - startNanos);
		return plan.pays(experts.copySeconds(), leastGain) ? Optional.of(plan) : Optional.empty();
	}

}
