package io.bulrushrouter.gateway.source;

import java.util.random.RandomGenerator;

/**
 * Exponential backoff of calls to the store, spread from half to one and a half times the
 * nominal delay.
 *
 * @param baseMillis the nominal delay after no earlier failure, in milliseconds
 * @param maxMillis the upper bound of the nominal delay, in milliseconds
 */
public record JitteredBackoff(long baseMillis, long maxMillis) {

	private static final int MAX_DOUBLINGS = 6;

	/**
	 * Returns a random delay.
	 * @param failures the number of consecutive failures, each of which doubles the delay
	 * @param random the source of the jitter
	 * @return the delay in milliseconds
	 */
	public long delayMillis(int failures, RandomGenerator random) {
		long nominal = Math.min(this.maxMillis, this.baseMillis << Math.min(failures, MAX_DOUBLINGS));
		return nominal / 2 + random.nextLong(nominal);
	}

}
