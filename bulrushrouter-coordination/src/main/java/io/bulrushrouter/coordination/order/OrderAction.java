package io.bulrushrouter.coordination.order;

import io.bulrushrouter.coordination.lease.FencingToken;
import io.bulrushrouter.kernel.ModelId;

/**
 * The next action of the sidecar to bring its engine to the ordered state.
 */
public sealed interface OrderAction {

	/**
	 * Do nothing for now.
	 */
	record Idle() implements OrderAction {
	}

	/**
	 * Read the highest fencing token from the platform.
	 */
	record ReadFencingToken() implements OrderAction {
	}

	/**
	 * Read the engine's state.
	 */
	record Observe() implements OrderAction {
	}

	/**
	 * Command the engine to load a model.
	 *
	 * @param model the model
	 * @param fence the fencing token to send with the command
	 */
	record Load(ModelId model, FencingToken fence) implements OrderAction {
	}

	/**
	 * Command the engine to unload a model.
	 *
	 * @param model the model
	 * @param fence the fencing token to send with the command
	 */
	record Unload(ModelId model, FencingToken fence) implements OrderAction {
	}

	/**
	 * Command the engine to change its role.
	 *
	 * @param role the role
	 * @param fence the fencing token to send with the command
	 */
	record ChangeRole(EngineRole role, FencingToken fence) implements OrderAction {
	}

}
