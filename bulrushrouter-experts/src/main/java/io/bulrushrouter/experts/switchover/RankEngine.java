package io.bulrushrouter.experts.switchover;

import java.util.Optional;

/**
 * The engine of one rank as the map switch sees it. The engine keeps its
 * {@link EngineState} over restarts of the sidecar.
 */
@FunctionalInterface
public interface RankEngine {

	/**
	 * Applies an order as {@link EngineState#after(EngineOrder)} states.
	 * @param order the order
	 * @return the state after the order, or empty if it is not known whether the order
	 * was applied
	 */
	Optional<EngineState> apply(EngineOrder order);

}
