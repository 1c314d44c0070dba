package io.bulrushrouter.experts.planning;

import java.util.List;

import io.bulrushrouter.kernel.plugin.Plugin;
import io.bulrushrouter.kernel.plugin.PluginProvider;

/**
 * Registers the planners and profiles of this module as plug-ins.
 */
public final class ExpertPlanners implements PluginProvider {

	/**
	 * Returns the planner that keeps the map in use.
	 * @return the planner
	 */
	public static ExpertPlanner ofStatic() {
		return (request) -> LayerPlanner.keepMap(request,
				GroupSkew.of(request.current(), request.expertLoads(), request.speeds()),
				ExpertPlan.Reason.GOOD_ENOUGH);
	}

	/**
	 * Returns the planner that rebuilds layers from scratch.
	 * @return the planner
	 */
	public static ExpertPlanner ofRebuild() {
		return new RebuildPlanner();
	}

	/**
	 * Returns the planner that moves replicas one at a time and gives all replicas of an
	 * expert equal shares.
	 * @return the planner
	 */
	public static ExpertPlanner ofGreedy() {
		return new GreedyPlanner();
	}

	/**
	 * Returns the planner that fits shares first and moves replicas only where that does
	 * not lower the skew enough.
	 * @return the planner
	 */
	public static ExpertPlanner ofFitted() {
		return new FittedPlanner();
	}

	@Override
	public List<Plugin<?>> plugins() {
		return List.of(Plugin.of(ExpertPlanner.class, "static", ofStatic()),
				Plugin.of(ExpertPlanner.class, "anew", ofRebuild()),
				Plugin.of(ExpertPlanner.class, "greedy", ofGreedy()),
				Plugin.of(ExpertPlanner.class, "fitted", ofFitted()),
				Plugin.of(PlanProfile.class, "ash", PlanProfile.ofLowSkew()),
				Plugin.of(PlanProfile.class, "kitchen", PlanProfile.ofLowCost()));
	}

}
