package io.bulrushrouter.coordination.order;

import java.util.Optional;
import java.util.concurrent.CompletionStage;

/**
 * The sidecar's way to its engine's orders. The stages never fail.
 */
public interface EngineAdapter {

	/**
	 * Reads the engine's state.
	 * @return the state, or empty if the engine did not answer
	 */
	CompletionStage<Optional<EngineState>> observe();

	/**
	 * Sends a command, once.
	 * @param command a {@link OrderAction.Load}, {@link OrderAction.Unload} or
	 * {@link OrderAction.ChangeRole}
	 * @return what came of it
	 */
	CompletionStage<CommandOutcome> execute(OrderAction command);

}
