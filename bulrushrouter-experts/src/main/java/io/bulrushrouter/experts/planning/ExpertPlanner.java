package io.bulrushrouter.experts.planning;

/**
 * Decides on the next map of a group. Planners are plug-ins, picked by name.
 */
@FunctionalInterface
public interface ExpertPlanner {

	/**
	 * Returns the next map.
	 * @param request the map in use, the loads and the limits
	 * @return the decision
	 */
	ExpertPlan plan(PlanRequest request);

}
