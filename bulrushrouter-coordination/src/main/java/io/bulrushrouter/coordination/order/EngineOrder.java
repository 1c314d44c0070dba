package io.bulrushrouter.coordination.order;

import java.util.Objects;

import io.bulrushrouter.coordination.lease.FencingToken;

/**
 * What a lease's holder wants an engine's state to be.
 *
 * @param fence the holder's fencing number
 * @param desired the whole state
 */
public record EngineOrder(FencingToken fence, EngineState desired) {

	/**
	 * Checks the parts.
	 */
	public EngineOrder {
		Objects.requireNonNull(fence);
		Objects.requireNonNull(desired);
	}

}
