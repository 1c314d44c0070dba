package io.bulrushrouter.gateway.source;

import java.util.concurrent.TimeUnit;
import java.util.function.LongSupplier;

import io.bulrushrouter.kernel.TimeSource;

/**
 * How old the last proof is that the known configuration is the newest one: the time at
 * which the store was asked for its last answer. The monotonic clock stands still while
 * an instance is suspended and the time of day does not, so that the time of day moving
 * ahead of the monotonic clock voids the proof. A step of the time of day costs one more
 * call to the store and nothing else.
 */
public final class FreshnessProof {

	/** Drift between the clocks that is no suspension; slewing moves far less. */
	private static final long MAX_CLOCK_DRIFT_MILLIS = 250;

	private final TimeSource clock;

	private final LongSupplier timeOfDayMillis;

	private boolean proven;

	private long requestedNanos;

	private long offsetMillis;

	/**
	 * Creates a holder without a proof.
	 * @param clock the monotonic clock
	 * @param timeOfDayMillis the time of day, in milliseconds
	 */
	public FreshnessProof(TimeSource clock, LongSupplier timeOfDayMillis) {
		this.clock = clock;
		this.timeOfDayMillis = timeOfDayMillis;
		this.offsetMillis = offset();
	}

	/**
	 * Notes an answer of the store.
	 * @param requestedNanos when the store was asked
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
	 * @return milliseconds, {@link Long#MAX_VALUE} if there is no proof
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
