package io.bulrushrouter.ranks;

import java.util.List;
import java.util.Optional;

import io.bulrushrouter.experts.live.CopyWorth;
import io.bulrushrouter.experts.live.Demand;
import io.bulrushrouter.experts.live.GroupView;
import io.bulrushrouter.experts.live.PlacementLimits;
import io.bulrushrouter.experts.live.PlacementPlan;
import io.bulrushrouter.experts.live.PlacementPlanner;
import io.bulrushrouter.gateway.config.EngineSpec;
import io.bulrushrouter.gateway.config.ExpertSpec;

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

	private Demand demand;

	/**
	 * Takes the counts of the ranks.
	 * @param experts the engines' figures
	 * @param view the ranks
	 * @param reports the reports of the view's epoch
	 * @param nowMillis the time
	 */
	void observe(ExpertSpec experts, GroupView view, List<RankReport> reports, long nowMillis) {
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
	 * @return the plan, or empty if none is worth its copies
	 */
	Optional<PlacementPlan> paying(EngineSpec engine, GroupView view, int[][][] inUse) {
		if (this.demand == null || this.demand.total() < LEAST_CHOICES) {
			return Optional.empty();
		}
		ExpertSpec experts = engine.experts().orElseThrow();
		double occupancy = view.running() / (double) (view.size() * engine.slots());
		double leastGain = CopyWorth.leastGain(occupancy);
		int copies = Math.max(1, (int) (LONGEST_COPY_SECONDS / experts.copySeconds()));
		PlacementPlan plan = PlacementPlanner.cheapest(inUse, this.demand.loads(),
				new PlacementLimits(experts.places(), experts.spare(), copies), leastGain, experts.copySeconds());
		return plan.pays(experts.copySeconds(), leastGain) ? Optional.of(plan) : Optional.empty();
	}

}
