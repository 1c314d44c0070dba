package io.bulrushrouter.coordination;

import java.time.Duration;
import java.util.random.RandomGenerator;

/**
 * Exponential backoff with full jitter: the n-th delay, counted from 0, is uniformly
 * distributed between zero and {@code min(maxDelay, baseDelay * 2^n)}.
 *
 * @param baseDelay the upper bound of the first delay
 * @param maxDelay the upper bound of every delay
 * @see <a href=
 * "https://aws.amazon.com/blogs/architecture/exponential-backoff-and-jitter/">Brooker,
 * Exponential Backoff And Jitter (2015)</a>
 */
public record ExponentialBackoff(Duration baseDelay, Duration maxDelay) {

	/** The backoff of calls to the platform. */
	public static final ExponentialBackoff PLATFORM = new ExponentialBackoff(Duration.ofMillis(200),
			Duration.ofSeconds(20));

	private static final int MAX_SHIFT = 30;

	/**
	 * Returns a random delay.
	 * @param failures the number of consecutive failures, from 0
	 * @param random the source of the jitter
	 * @return the delay, in nanoseconds
	 */
	public long delayNanos(int failures, RandomGenerator random) {
		double bound = (double) this.baseDelay.toNanos() * (1L << Math.min(failures, MAX_SHIFT));
		return (long) (random.nextDouble() * Math.min(bound, this.maxDelay.toNanos()));
	}

}
