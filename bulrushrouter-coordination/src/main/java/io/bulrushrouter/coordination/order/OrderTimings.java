package io.bulrushrouter.coordination.order;

import java.time.Duration;

/**
 * The times of orders to an engine.
 *
 * @param observationInterval the time between two looks at an engine that is as ordered
 * @param retryDelay the time before a refused command or a failed read is repeated
 * @param commandTimeout the time after which a command without an answer can no longer
 * take effect
 */
public record OrderTimings(Duration observationInterval, Duration retryDelay, Duration commandTimeout) {

	/** The terms that daemons use. */
	public static final OrderTimings DEFAULT = new OrderTimings(Duration.ofSeconds(10), Duration.ofSeconds(1),
			Duration.ofSeconds(30));

}
