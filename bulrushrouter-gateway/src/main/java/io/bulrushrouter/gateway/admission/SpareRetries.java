package io.bulrushrouter.gateway.admission;

import java.util.concurrent.TimeUnit;
import java.util.function.DoubleSupplier;
import java.util.function.LongSupplier;

/**
 * The retries that an entry is allowed in a window without any request. A process has
 * none until it knows that no earlier process of the entry has used them: it is the first
 * one, or has run for a window. Not thread-safe.
 */
public final class SpareRetries implements DoubleSupplier {

	private final DoubleSupplier share;

	private final LongSupplier nanoTime;

	private final long unusedNanos;

	private boolean firstProcess;

	private SpareRetries(DoubleSupplier share, LongSupplier nanoTime, long windowMillis) {
		this.share = share;
		this.nanoTime = nanoTime;
		this.unusedNanos = nanoTime.getAsLong() + TimeUnit.MILLISECONDS.toNanos(windowMillis);
	}

	/**
	 * Creates the spare retries of a process that starts now.
	 * @param share returns the share of the entry
	 * @param nanoTime returns the monotonic time, in nanoseconds
	 * @param windowMillis the length of the window, in milliseconds
	 * @return the spare retries
	 */
	public static SpareRetries of(DoubleSupplier share, LongSupplier nanoTime, long windowMillis) {
		return new SpareRetries(share, nanoTime, windowMillis);
	}

	/**
	 * Records that this is the first process of the entry.
	 */
	public void firstProcess() {
		this.firstProcess = true;
	}

	@Override
	public double getAsDouble() {
		boolean unused = this.firstProcess || this.nanoTime.getAsLong() - this.unusedNanos >= 0;
		return unused ? this.share.getAsDouble() : 0;
	}

}
