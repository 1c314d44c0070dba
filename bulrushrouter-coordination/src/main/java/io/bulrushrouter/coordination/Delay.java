package io.bulrushrouter.coordination;

import java.time.Duration;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionStage;
import java.util.concurrent.TimeUnit;

/**
 * Lets time pass before a repeat.
 */
@FunctionalInterface
public interface Delay {

	/**
	 * Returns a stage that completes after a pause.
	 * @param pause how long
	 * @return the stage
	 */
	CompletionStage<Void> after(Duration pause);

	/**
	 * Returns the delay that lets real time pass.
	 * @return the delay
	 */
	static Delay ofSystem() {
		return (pause) -> CompletableFuture.runAsync(() -> {
		}, CompletableFuture.delayedExecutor(pause.toNanos(), TimeUnit.NANOSECONDS));
	}

}
