package io.bulrushrouter.experts.switchover;

import java.util.Optional;

/**
 * The engine of one rank, as seen by the map switch. The engine retains its
 * {@link EngineState} across restarts of the sidecar.
 */
@FunctionalInterface
public interface RankEngine {

	/**
	 * Applies an order as defined by {@link EngineState#after(EngineOrder)}.
	 * @param order the order
	 * @return the state after the order, or empty if it is unknown whether the order was
	 * applied
	 */
	Optional<EngineState> apply(EngineOrder order);

}
