/**
 * Planners of expert maps. A planner proposes the next map from the popularity of
 * experts, the speeds of the ranks and the map in use.
 */
package io.bulrushrouter.experts.planning;
