package io.bulrushrouter.coordination.order;

import java.time.Duration;

/**
 * The times of orders to an engine.
 *
 * @param observation the time between two looks at an engine that is as ordered
 * @param retry the time before a refused command or a failed read is repeated
 * @param commandLimit the time after which a command without an answer can no longer take
 * effect
 */
public record OrderTerms(Duration observation, Duration retry, Duration commandLimit) {

	/** The terms that daemons use. */
	public static final OrderTerms DEFAULT = new OrderTerms(Duration.ofSeconds(10), Duration.ofSeconds(1),
			Duration.ofSeconds(30));

}
