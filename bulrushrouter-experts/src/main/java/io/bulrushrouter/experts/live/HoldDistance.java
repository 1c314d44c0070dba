package io.bulrushrouter.experts.live;

import java.util.concurrent.TimeUnit;

/**
 * Chooses how many passes ahead a group is held for a switch. The group stands still if
 * it reaches the pass of the hold before it is released, and each of its streams then
 * pauses. So the distance covers the time from the hold to the release, as measured in
 * earlier switches, at the pace of the passes at the moment. Not thread-safe.
 */
public final class HoldDistance {

	/** The shortest distance: a pass may start while the hold is on its way. */
	static final int MIN_PASSES = 2;

	/**
	 * The longest distance. A map that is in use later by more passes is outdated sooner
	 * than it pays, and a leader that fails leaves the hold behind.
	 */
	static final int MAX_PASSES = 12;

	/** The time from the hold to the release that is assumed before the first switch. */
	private static final double INITIAL_SWITCH_MILLIS = 250;

	/** Factor by which a switch may take longer than the average of the earlier ones. */
	private static final double SWITCH_TIME_MARGIN = 1.3;

	private static final double NEWEST_SWITCH_WEIGHT = 0.3;

	/** Weight of the newest interval between two observed passes. */
	private static final double NEWEST_PASS_WEIGHT = 0.4;

	/**
	 * A longer interval between two statuses is not an average of passes: the group was
	 * idle or held meanwhile.
	 */
	private static final double MAX_PASS_MILLIS = 400;

	private static final long NOT_OBSERVED = -1;

	private double switchMillis = INITIAL_SWITCH_MILLIS;

	private double passMillis;

	private long observedStep = NOT_OBSERVED;

	private long observedNanos;

	private long holdSentNanos;

	/**
	 * Records the last pass that the group has started. Time in which a hold is in place
	 * is left out, as the group may have stood still.
	 * @param step the number of the pass
	 * @param held whether a hold is in place
	 * @param nowNanos the current monotonic time, in nanoseconds
	 */
	public void observe(long step, boolean held, long nowNanos) {
		if (!held && this.observedStep != NOT_OBSERVED && step > this.observedStep) {
			double millis = millisSince(this.observedNanos, nowNanos) / (step - this.observedStep);
			if (millis <= MAX_PASS_MILLIS) {
				this.passMillis += (this.passMillis == 0) ? millis : NEWEST_PASS_WEIGHT * (millis - this.passMillis);
			}
		}
		if (held) {
			this.observedStep = NOT_OBSERVED;
		}
		else if (step != this.observedStep) {
			this.observedStep = step;
			this.observedNanos = nowNanos;
		}
	}

	/**
	 * Records that the order to hold the group was sent.
	 * @param nowNanos the current monotonic time, in nanoseconds
	 */
	public void holdSent(long nowNanos) {
		this.holdSentNanos = nowNanos;
	}

	/**
	 * Records that the group was released after a switch.
	 * @param nowNanos the current monotonic time, in nanoseconds
	 */
	public void released(long nowNanos) {
		this.switchMillis += NEWEST_SWITCH_WEIGHT * (millisSince(this.holdSentNanos, nowNanos) - this.switchMillis);
	}

	/**
	 * Returns the distance of the next hold.
	 * @return the number of passes after the last started one
	 */
	public int passes() {
		if (this.passMillis == 0) {
			return MIN_PASSES;
		}
		int passes = MIN_PASSES + (int) Math.ceil(SWITCH_TIME_MARGIN * this.switchMillis / this.passMillis);
		return Math.min(MAX_PASSES, passes);
	}

	private static double millisSince(long startNanos, long nowNanos) {
		return (nowNanos - startNanos) / (double) TimeUnit.MILLISECONDS.toNanos(1);
	}

}
