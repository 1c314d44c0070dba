package io.bulrushrouter.gateway.forward;

import java.util.random.RandomGenerator;

import io.bulrushrouter.kernel.ErrorCode;

/**
 * Chooses the delay after which a refused caller is asked to retry.
 */
final class RetryAfter {

	/** The batch of an engine frees a slot about this often. */
	private static final long MIN_DELAY_MILLIS = 300;

	/** Width of the interval over which retries are spread. */
	private static final long JITTER_MILLIS = 700;

	/**
	 * Width of the interval over which retries are spread that other entries can serve at
	 * once.
	 */
	private static final long ELSEWHERE_JITTER_MILLIS = 40;

	private RetryAfter() {
	}

	/**
	 * Returns the delay after a refusal. A caller opens a new connection for a retry,
	 * which the platform's load balancer gives to an entry that is ready. So a request
	 * that only this entry cannot serve can return at once and still be on time.
	 * @param reason why the request was refused
	 * @param random spreads the retries
	 * @return the delay in milliseconds
	 */
	static long millis(ErrorCode reason, RandomGenerator random) {
		return switch (reason) {
			case STORE_UNAVAILABLE, NOT_READY, DRAINING -> 1 + random.nextLong(ELSEWHERE_JITTER_MILLIS);
			default -> MIN_DELAY_MILLIS + random.nextLong(JITTER_MILLIS);
		};
	}

}
