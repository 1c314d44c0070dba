package io.bulrushrouter.gateway.forward;

import java.util.random.RandomGenerator;

/**
 * When a refused caller is asked to come back.
 */
final class RetryAfter {

	/** The soonest; a batch of an engine frees a slot about this often. */
	private static final long MIN_DELAY_MILLIS = 300;

	/** Width of the interval that returns are spread over. */
	private static final long JITTER_MILLIS = 700;

	private RetryAfter() {
	}

	static long millis(RandomGenerator random) {
		return MIN_DELAY_MILLIS + random.nextLong(JITTER_MILLIS);
	}

}
