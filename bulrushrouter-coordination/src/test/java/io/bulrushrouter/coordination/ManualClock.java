package io.bulrushrouter.coordination;

import java.time.Duration;

import io.bulrushrouter.kernel.TimeSource;

/**
 * A clock that advances only on request. It starts 20 seconds before the nanosecond
 * counter overflows.
 */
public final class ManualClock implements TimeSource {

	private long nanos = Long.MAX_VALUE - Duration.ofSeconds(20).toNanos();

	@Override
	public long nanos() {
		return this.nanos;
	}

	/**
	 * Advances the clock.
	 * @param duration the amount of time
	 */
	public void advance(Duration duration) {
		this.nanos += duration.toNanos();
	}

}
