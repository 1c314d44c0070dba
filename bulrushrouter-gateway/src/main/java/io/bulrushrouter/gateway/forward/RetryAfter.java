package io.bulrushrouter.gateway.forward;

import java.util.random.RandomGenerator;

/**
 * Chooses the delay after which a refused caller is asked to retry.
 */
final class RetryAfter {

	/** The batch of an engine frees a slot about this often. */
	private static final long MIN_DELAY_MILLIS = 300;

	/** Width of the interval over which retries are spread. */
	private static final long JITTER_MILLIS = 700;

	private RetryAfter() {
	}

	static long millis(RandomGenerator random) {
		return MIN_DELAY_MILLIS + random.nextLong(JITTER_MILLIS);
	}

}
