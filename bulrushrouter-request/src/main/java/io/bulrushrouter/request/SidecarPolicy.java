package io.bulrushrouter.request;

import java.time.Duration;

/**
 * The limits of a sidecar.
 *
 * @param concurrency the most attempts that run on the engine at once
 * @param answerMargin how long before its deadline a waiting attempt is handed back
 * @param rememberedAttempts how many ended attempts are remembered, to drop repeats
 * @param keptAnswerBytes the most bytes of kept answers
 * @param maxAnswerBytes the longest answer that is kept
 * @param retryAfter when a refused caller is told to come back
 */
public record SidecarPolicy(int concurrency, Duration answerMargin, int rememberedAttempts, long keptAnswerBytes,
		int maxAnswerBytes, Duration retryAfter) {

	/** Ended attempts that are remembered by default. */
	public static final int DEFAULT_REMEMBERED = 10_000;

	/** Bytes of kept answers by default. */
	public static final long DEFAULT_KEPT_BYTES = 8L << 20;

	/** The longest answer that is kept by default, in bytes. */
	public static final int DEFAULT_MAX_ANSWER_BYTES = 64 << 10;

	/**
	 * Returns the default limits.
	 * @param concurrency the most attempts that run on the engine at once
	 * @return the limits
	 */
	public static SidecarPolicy of(int concurrency) {
		return new SidecarPolicy(concurrency, Duration.ofMillis(10), DEFAULT_REMEMBERED, DEFAULT_KEPT_BYTES,
				DEFAULT_MAX_ANSWER_BYTES, Duration.ofSeconds(1));
	}

}
