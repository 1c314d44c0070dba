package io.bulrushrouter.bench.platform;

import java.time.Duration;

import io.bulrushrouter.kernel.TimeSource;

/**
 * A clock that advances only on an explicit call.
 */
final class SimulatedTime implements TimeSource {

	private long nanos;

	@Override
	public long nanos() {
		return this.nanos;
	}

	void advance(Duration time) {
		this.nanos += time.toNanos();
	}

	double seconds() {
		return this.nanos / 1e9;
	}

}
