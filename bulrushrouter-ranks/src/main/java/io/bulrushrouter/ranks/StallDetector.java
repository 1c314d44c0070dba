package io.bulrushrouter.ranks;

import java.util.concurrent.TimeUnit;

import io.bulrushrouter.experts.live.RankStatus;

/**
 * Decides when a process looks after a group that stands still: once the process that
 * gives the group's orders has been silent, or has not got it to go on for long.
 * Processes of higher ranks wait longer, so that mostly one acts.
 */
final class StallDetector {

	/**
	 * Longer than a round of the balancing process in which questions and orders go
	 * unanswered, which is its longest silence.
	 */
	static final long SILENCE_TIMEOUT_MILLIS = 1_000;

	/**
	 * Longer than the balancing process needs to give up a switch when orders are lost.
	 */
	static final long PROGRESS_TIMEOUT_MILLIS = 4_000;

	/** Time for the process of the rank before to take over. */
	static final long RANK_STAGGER_MILLIS = 300;

	/** A longer pause between two looks means that this process itself stood still. */
	static final long MAX_POLL_GAP_MILLIS = 500;

	private long lastRequestNanos;

	private long firstRequestNanos;

	private long stalledSinceNanos;

	private long lastPollNanos;

	private long epoch = -1;

	private long step = -1;

	/**
	 * Notes that another process has asked this one about the group.
	 * @param nowNanos the time
	 */
	void recordRequest(long nowNanos) {
		if (nowNanos - this.lastRequestNanos > TimeUnit.MILLISECONDS.toNanos(SILENCE_TIMEOUT_MILLIS)) {
			this.firstRequestNanos = nowNanos;
		}
		this.lastRequestNanos = nowNanos;
	}

	/**
	 * Takes a look at the group.
	 * @param status the status of the rank beside this process, whose group is open
	 * @param nowNanos the time
	 * @return whether this process is to look after the group
	 */
	boolean shouldTakeOver(RankStatus status, long nowNanos) {
		boolean stoodStill = nowNanos - this.lastPollNanos > TimeUnit.MILLISECONDS.toNanos(MAX_POLL_GAP_MILLIS);
		this.lastPollNanos = nowNanos;
		if (stoodStill) {
			this.lastRequestNanos = nowNanos;
			this.firstRequestNanos = nowNanos;
		}
		boolean moves = status.step() != this.step || status.epoch() != this.epoch || status.running() == 0;
		if (stoodStill || moves) {
			this.step = status.step();
			this.epoch = status.epoch();
			this.stalledSinceNanos = nowNanos;
			return false;
		}
		long later = RANK_STAGGER_MILLIS * Math.max(0, status.rank() - 1);
		long silentMillis = millisSince(Math.max(this.stalledSinceNanos, this.lastRequestNanos), nowNanos);
		long pendingMillis = millisSince(Math.max(this.stalledSinceNanos, this.firstRequestNanos), nowNanos);
		return silentMillis >= SILENCE_TIMEOUT_MILLIS + later || pendingMillis >= PROGRESS_TIMEOUT_MILLIS + later;
	}

	private static long millisSince(long thenNanos, long nowNanos) {
		return TimeUnit.NANOSECONDS.toMillis(nowNanos - thenNanos);
	}

}
