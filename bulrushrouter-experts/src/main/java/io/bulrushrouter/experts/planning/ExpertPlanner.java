package io.bulrushrouter.experts.planning;

/**
 * Proposes the next expert map of a group. Planners are plug-ins, selected by name.
 */
@FunctionalInterface
public interface ExpertPlanner {

	/**
	 * Returns the plan for the next map, which may be to keep the map in use.
	 * @param request the map in use, the loads and the limits
	 * @return the plan
	 */
	ExpertPlan plan(PlanRequest request);

}
