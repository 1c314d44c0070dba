package io.bulrushrouter.coordination.order;

import io.bulrushrouter.coordination.lease.FencingToken;
import io.bulrushrouter.kernel.ModelId;

/**
 * What the sidecar does next about its engine's orders.
 */
public sealed interface OrderAction {

	/**
	 * Nothing for now.
	 */
	record Idle() implements OrderAction {
	}

	/**
	 * Read the highest fencing number from the platform.
	 */
	record ReadFencingToken() implements OrderAction {
	}

	/**
	 * Read the engine's state.
	 */
	record Observe() implements OrderAction {
	}

	/**
	 * Have the engine load a model.
	 *
	 * @param model the model
	 * @param fence the number to send along
	 */
	record Load(ModelId model, FencingToken fence) implements OrderAction {
	}

	/**
	 * Have the engine unload a model.
	 *
	 * @param model the model
	 * @param fence the number to send along
	 */
	record Unload(ModelId model, FencingToken fence) implements OrderAction {
	}

	/**
	 * Have the engine change its role.
	 *
	 * @param role the role
	 * @param fence the number to send along
	 */
	record ChangeRole(EngineRole role, FencingToken fence) implements OrderAction {
	}

}
