package io.bulrushrouter.coordination;

import java.time.Duration;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionStage;
import java.util.concurrent.TimeUnit;

/**
 * Schedules the delay before a retry.
 */
@FunctionalInterface
public interface Delay {

	/**
	 * Returns a stage that completes after a delay.
	 * @param delay the delay
	 * @return the stage
	 */
	CompletionStage<Void> after(Duration delay);

	/**
	 * Returns an implementation that uses the system's timer.
	 * @return the implementation
	 */
	static Delay ofSystem() {
		return (delay) -> CompletableFuture.runAsync(() -> {
		}, CompletableFuture.delayedExecutor(delay.toNanos(), TimeUnit.NANOSECONDS));
	}

}
