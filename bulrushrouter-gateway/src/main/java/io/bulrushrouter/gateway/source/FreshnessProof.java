package io.bulrushrouter.gateway.source;

import java.util.concurrent.TimeUnit;
import java.util.function.LongSupplier;

import io.bulrushrouter.kernel.TimeSource;

/**
 * Age of the last proof that the known configuration is the newest one. The age counts
 * from the time at which the store was called for its last answer. While an instance is
 * suspended the monotonic clock stands still but the time of day does not; the proof is
 * therefore discarded when the time of day runs ahead of the monotonic clock. An
 * adjustment of the time of day costs one more call to the store and nothing else.
 */
public final class FreshnessProof {

	/**
	 * Maximum drift between the clocks that is not taken for a suspension. Slewing of the
	 * time of day moves it far less.
	 */
	private static final long MAX_CLOCK_DRIFT_MILLIS = 250;

	private final TimeSource clock;

	private final LongSupplier timeOfDayMillis;

	private boolean proven;

	private long requestedNanos;

	private long offsetMillis;

	/**
	 * Creates an instance that has no proof yet.
	 * @param clock the monotonic clock
	 * @param timeOfDayMillis the source of the time of day, in milliseconds
	 */
	public FreshnessProof(TimeSource clock, LongSupplier timeOfDayMillis) {
		this.clock = clock;
		this.timeOfDayMillis = timeOfDayMillis;
		this.offsetMillis = offset();
	}

	/**
	 * Renews the proof after an answer of the store. If a suspension is detected, the
	 * proof is discarded instead.
	 * @param requestedNanos the monotonic time at which the store was called, in
	 * nanoseconds
	 */
	public void prove(long requestedNanos) {
		long offset = offset();
		if (suspended(offset)) {
			this.proven = false;
			this.offsetMillis = offset;
			return;
		}
		this.proven = true;
		this.offsetMillis = offset;
		this.requestedNanos = requestedNanos;
	}

	/**
	 * Returns the age of the proof.
	 * @return the age in milliseconds, or {@link Long#MAX_VALUE} if there is no proof
	 */
	public long ageMillis() {
		long offset = offset();
		if (suspended(offset)) {
			this.proven = false;
			this.offsetMillis = offset;
		}
		if (!this.proven) {
			return Long.MAX_VALUE;
		}
		return TimeUnit.NANOSECONDS.toMillis(this.clock.nanos() - this.requestedNanos);
	}

	private boolean suspended(long offset) {
		return offset - this.offsetMillis > MAX_CLOCK_DRIFT_MILLIS;
	}

	private long offset() {
		return this.timeOfDayMillis.getAsLong() - TimeUnit.NANOSECONDS.toMillis(this.clock.nanos());
	}

}
