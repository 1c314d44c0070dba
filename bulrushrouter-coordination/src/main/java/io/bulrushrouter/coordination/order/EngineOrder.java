package io.bulrushrouter.coordination.order;

import java.util.Objects;

import io.bulrushrouter.coordination.lease.FencingToken;

/**
 * An order of a lease's holder that sets the desired state of an engine.
 *
 * @param fence the holder's fencing token
 * @param desired the complete desired state
 */
public record EngineOrder(FencingToken fence, EngineState desired) {

	/**
	 * Validates the components.
	 */
	public EngineOrder {
		Objects.requireNonNull(fence);
		Objects.requireNonNull(desired);
	}

}
