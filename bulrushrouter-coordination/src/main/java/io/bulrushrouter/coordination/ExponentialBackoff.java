package io.bulrushrouter.coordination;

import java.time.Duration;
import java.util.random.RandomGenerator;

/**
 * Exponential back-off with full jitter: the n-th pause is uniform between zero and
 * {@code min(cap, base * 2^n)}.
 *
 * @param baseDelay the bound of the first pause
 * @param maxDelay the highest bound
 * @see <a href=
 * "https://aws.amazon.com/blogs/architecture/exponential-backoff-and-jitter/">Brooker,
 * Exponential Backoff And Jitter (2015)</a>
 */
public record ExponentialBackoff(Duration baseDelay, Duration maxDelay) {

	/** The back-off of calls to the platform. */
	public static final ExponentialBackoff PLATFORM = new ExponentialBackoff(Duration.ofMillis(200),
			Duration.ofSeconds(20));

	private static final int MAX_SHIFT = 30;

	/**
	 * Returns a pause.
	 * @param failures how many calls failed in a row before, from 0
	 * @param random the source of the jitter
	 * @return the pause in nanoseconds
	 */
	public long delayNanos(int failures, RandomGenerator random) {
		double bound = (double) this.baseDelay.toNanos() * (1L << Math.min(failures, MAX_SHIFT));
		return (long) (random.nextDouble() * Math.min(bound, this.maxDelay.toNanos()));
	}

}
