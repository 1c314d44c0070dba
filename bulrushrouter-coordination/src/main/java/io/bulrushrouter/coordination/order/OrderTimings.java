package io.bulrushrouter.coordination.order;

import java.time.Duration;

/**
 * The intervals and timeouts of orders to an engine.
 *
 * @param observationInterval the interval between observations of an engine that matches
 * its order
 * @param retryDelay the delay before a refused command or a failed read is retried
 * @param commandTimeout the time after which an unanswered command can no longer take
 * effect
 */
public record OrderTimings(Duration observationInterval, Duration retryDelay, Duration commandTimeout) {

	/** The timings that daemons use. */
	public static final OrderTimings DEFAULT = new OrderTimings(Duration.ofSeconds(10), Duration.ofSeconds(1),
			Duration.ofSeconds(30));

}
