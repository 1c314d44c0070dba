package io.bulrushrouter.coordination;

import java.time.Duration;

import io.bulrushrouter.kernel.TimeSource;

/**
 * A clock that moves only when it is told to.
 */
public final class ManualClock implements TimeSource {

	private long nanos = Long.MAX_VALUE - Duration.ofSeconds(20).toNanos();

	@Override
	public long nanos() {
		return this.nanos;
	}

	/**
	 * Moves the clock.
	 * @param duration by how much
	 */
	public void advance(Duration duration) {
		this.nanos += duration.toNanos();
	}

}
