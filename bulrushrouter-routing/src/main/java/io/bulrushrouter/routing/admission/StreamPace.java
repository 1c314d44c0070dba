package io.bulrushrouter.routing.admission;

/**
 * The times of the events of one stream. Not thread-safe.
 */
public final class StreamPace {

	private static final long NONE = Long.MIN_VALUE;

	/**
	 * The last event of the current attempt, from which the next interval is measured.
	 */
	long passStartNanos = NONE;

	/** The streams in flight at the last event. */
	int inFlightThen;

	private long lastEventNanos = NONE;

	private int events;

	private long longestNanos;

	private int longestBefore;

	private long longestEndNanos = NONE;

	/**
	 * Records events that were read together.
	 * @param count the number of events
	 * @param nowNanos the current monotonic time, in nanoseconds
	 */
	void recordCallerPause(int count, long nowNanos) {
		if (this.events > 0 && nowNanos - this.lastEventNanos > this.longestNanos) {
			this.longestNanos = nowNanos - this.lastEventNanos;
			this.longestBefore = this.events + 1;
			this.longestEndNanos = nowNanos;
		}
		this.lastEventNanos = nowNanos;
		this.events += count;
	}

	/**
	 * Returns whether an interval is being measured.
	 * @return whether the current attempt had an event since reading last paused
	 */
	boolean running() {
		return this.passStartNanos != NONE;
	}

	/**
	 * Stops the measurement of the current interval, since its length does not depend on
	 * the engine: another attempt begins, or the caller does not read.
	 */
	public void interrupted() {
		this.passStartNanos = NONE;
	}

	/**
	 * Returns the longest pause between two events.
	 * @return the pause in nanoseconds, 0 before the second event
	 */
	public long longestNanos() {
		return this.longestNanos;
	}

	/**
	 * Returns the number of the event that ended the longest pause.
	 * @return the number, from 1 for the first event; 0 before the second event
	 */
	public int longestBefore() {
		return this.longestBefore;
	}

	/**
	 * Returns when the longest pause ended.
	 * @return the monotonic time, in nanoseconds
	 */
	public long longestEndNanos() {
		return this.longestEndNanos;
	}

}
