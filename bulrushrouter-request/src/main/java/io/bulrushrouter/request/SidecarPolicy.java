package io.bulrushrouter.request;

import java.time.Duration;

/**
 * The limits of a sidecar.
 *
 * @param concurrency the most attempts that run on the engine at once
 * @param deadlineMargin how long before its deadline a waiting attempt is handed back
 * @param maxEndedAttempts how many ended attempts are remembered, to drop repeats
 * @param maxCacheBytes the most bytes of kept answers
 * @param maxCachedResponseBytes the longest answer that is kept
 * @param retryAfter when a refused caller is told to come back
 */
public record SidecarPolicy(int concurrency, Duration deadlineMargin, int maxEndedAttempts, long maxCacheBytes,
		int maxCachedResponseBytes, Duration retryAfter) {

	/** Ended attempts that are remembered by default. */
	public static final int DEFAULT_MAX_ENDED_ATTEMPTS = 10_000;

	/** Bytes of kept answers by default. */
	public static final long DEFAULT_MAX_CACHE_BYTES = 8L << 20;

	/** The longest answer that is kept by default, in bytes. */
	public static final int DEFAULT_MAX_CACHED_RESPONSE_BYTES = 64 << 10;

	/**
	 * Returns the default limits.
	 * @param concurrency the most attempts that run on the engine at once
	 * @return the limits
	 */
	public static SidecarPolicy of(int concurrency) {
		return new SidecarPolicy(concurrency, Duration.ofMillis(10), DEFAULT_MAX_ENDED_ATTEMPTS,
				DEFAULT_MAX_CACHE_BYTES, DEFAULT_MAX_CACHED_RESPONSE_BYTES, Duration.ofSeconds(1));
	}

}
