package io.bulrushrouter.coordination.order;

import java.util.Optional;
import java.util.concurrent.CompletionStage;

/**
 * The sidecar's connection to its engine. The stages never complete exceptionally.
 */
public interface EngineAdapter {

	/**
	 * Reads the engine's state.
	 * @return the state, or empty if the engine did not answer
	 */
	CompletionStage<Optional<EngineState>> observe();

	/**
	 * Sends a command, without retries.
	 * @param command a {@link OrderAction.Load}, {@link OrderAction.Unload} or
	 * {@link OrderAction.ChangeRole}
	 * @return the outcome
	 */
	CompletionStage<CommandOutcome> execute(OrderAction command);

}
