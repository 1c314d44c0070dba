package io.bulrushrouter.gateway.forward;

import java.util.concurrent.TimeUnit;

/**
 * For how long a response was not read because its caller did not read. Tells a response
 * that its upstream cut since it could not send it from one that was lost in a crash.
 */
final class ReadPause {

	/**
	 * Pause after which the loss of the connection is taken for a cut by the upstream. An
	 * upstream cuts a response after some seconds; its send buffer fills some time after
	 * reading has paused here.
	 */
	private static final long MIN_CUT_NANOS = TimeUnit.SECONDS.toNanos(1);

	/**
	 * Time after a pause within which a loss of the connection may still be its
	 * consequence: the end of the connection arrives after what was sent before it.
	 */
	private static final long MAX_AGE_NANOS = TimeUnit.SECONDS.toNanos(5);

	private boolean paused;

	private long sinceNanos;

	private boolean cutPauseEnded;

	private long cutPauseEndNanos;

	private long longestNanos;

	private long totalNanos;

	/**
	 * Records that reading has paused or goes on.
	 * @param reading whether the response is read
	 * @param nowNanos the time on the monotonic clock, in nanoseconds
	 */
	void reading(boolean reading, long nowNanos) {
		if (reading && this.paused) {
			long nanos = nowNanos - this.sinceNanos;
			this.longestNanos = Math.max(this.longestNanos, nanos);
			this.totalNanos += nanos;
			if (nanos >= MIN_CUT_NANOS) {
				this.cutPauseEnded = true;
				this.cutPauseEndNanos = nowNanos;
			}
		}
		else if (!reading && !this.paused) {
			this.sinceNanos = nowNanos;
		}
		this.paused = !reading;
	}

	/**
	 * Returns whether a loss of the connection now is the upstream's cut of a response
	 * that was not read.
	 * @param nowNanos the time on the monotonic clock, in nanoseconds
	 * @return whether reading paused long enough
	 */
	boolean explainsLoss(long nowNanos) {
		boolean justEnded = this.cutPauseEnded && nowNanos - this.cutPauseEndNanos < MAX_AGE_NANOS;
		return justEnded || (this.paused && nowNanos - this.sinceNanos >= MIN_CUT_NANOS);
	}

	/**
	 * Returns the longest pause.
	 * @param nowNanos the time on the monotonic clock, in nanoseconds
	 * @return the pause in nanoseconds, the current one included
	 */
	long longestNanos(long nowNanos) {
		return this.paused ? Math.max(this.longestNanos, nowNanos - this.sinceNanos) : this.longestNanos;
	}

	/**
	 * Returns the time on a clock that stands while reading is paused.
	 * @param nowNanos the time on the monotonic clock, in nanoseconds
	 * @return the time in nanoseconds
	 */
	long readingClock(long nowNanos) {
		return nowNanos - this.totalNanos - (this.paused ? nowNanos - this.sinceNanos : 0);
	}

}
