package io.bulrushrouter.request;

import java.time.Duration;

/**
 * Limits of a sidecar.
 *
 * @param concurrency the maximum number of attempts on the engine at the same time
 * @param deadlineMargin how long before its deadline a queued attempt is rejected
 * @param maxEndedAttempts how many ended attempts are remembered in order to drop
 * repeated messages
 * @param maxCacheBytes the maximum size of all cached responses, in bytes
 * @param maxCachedResponseBytes the maximum size of a cached response, in bytes
 * @param retryAfter the retry-after time of a rejected attempt, if the queue gives none
 */
public record SidecarPolicy(int concurrency, Duration deadlineMargin, int maxEndedAttempts, long maxCacheBytes,
		int maxCachedResponseBytes, Duration retryAfter) {

	/** Default number of ended attempts that are remembered. */
	public static final int DEFAULT_MAX_ENDED_ATTEMPTS = 10_000;

	/** Default maximum size of all cached responses, in bytes. */
	public static final long DEFAULT_MAX_CACHE_BYTES = 8L << 20;

	/** Default maximum size of a cached response, in bytes. */
	public static final int DEFAULT_MAX_CACHED_RESPONSE_BYTES = 64 << 10;

	/**
	 * Returns the default limits.
	 * @param concurrency the maximum number of attempts on the engine at the same time
	 * @return the limits
	 */
	public static SidecarPolicy of(int concurrency) {
		return new SidecarPolicy(concurrency, Duration.ofMillis(10), DEFAULT_MAX_ENDED_ATTEMPTS,
				DEFAULT_MAX_CACHE_BYTES, DEFAULT_MAX_CACHED_RESPONSE_BYTES, Duration.ofSeconds(1));
	}

}
