package io.bulrushrouter.coordination.order;

import java.util.Objects;

import io.bulrushrouter.coordination.lease.FencingNumber;

/**
 * What a lease's holder wants an engine's state to be.
 *
 * @param fence the holder's fencing number
 * @param wanted the whole state
 */
public record EngineOrder(FencingNumber fence, EngineState wanted) {

	/**
	 * Checks the parts.
	 */
	public EngineOrder {
		Objects.requireNonNull(fence);
		Objects.requireNonNull(wanted);
	}

}
