package io.bulrushrouter.ranks;

import java.util.concurrent.TimeUnit;

import io.bulrushrouter.experts.live.RankStatus;

/**
 * Decides when a process looks after a group that stands still: once the process that
 * gives the group's orders has been silent, or has not got it to go on for long.
 * Processes of higher ranks wait longer, so that mostly one acts.
 */
final class StallWatch {

	/**
	 * Longer than a round of the balancing process in which questions and orders go
	 * unanswered, which is its longest silence.
	 */
	static final long SILENCE_MILLIS = 1_000;

	/**
	 * Longer than the balancing process needs to give up a switch when orders are lost.
	 */
	static final long PATIENCE_MILLIS = 4_000;

	/** Time for the process of the rank before to take over. */
	static final long MILLIS_FOR_RANK = 300;

	/** A longer pause between two looks means that this process itself stood still. */
	static final long OWN_PAUSE_MILLIS = 500;

	private long askedNanos;

	private long askedSinceNanos;

	private long stillSinceNanos;

	private long lookedNanos;

	private long epoch = -1;

	private long step = -1;

	/**
	 * Notes that another process has asked this one about the group.
	 * @param nowNanos the time
	 */
	void asked(long nowNanos) {
		if (nowNanos - this.askedNanos > TimeUnit.MILLISECONDS.toNanos(SILENCE_MILLIS)) {
			this.askedSinceNanos = nowNanos;
		}
		this.askedNanos = nowNanos;
	}

	/**
	 * Takes a look at the group.
	 * @param status the status of the rank beside this process, whose group is open
	 * @param nowNanos the time
	 * @return whether this process is to look after the group
	 */
	boolean due(RankStatus status, long nowNanos) {
		boolean stoodStill = nowNanos - this.lookedNanos > TimeUnit.MILLISECONDS.toNanos(OWN_PAUSE_MILLIS);
		this.lookedNanos = nowNanos;
		if (stoodStill) {
			this.askedNanos = nowNanos;
			this.askedSinceNanos = nowNanos;
		}
		boolean moves = status.step() != this.step || status.epoch() != this.epoch || status.running() == 0;
		if (stoodStill || moves) {
			this.step = status.step();
			this.epoch = status.epoch();
			this.stillSinceNanos = nowNanos;
			return false;
		}
		long later = MILLIS_FOR_RANK * Math.max(0, status.rank() - 1);
		long silentMillis = millisSince(Math.max(this.stillSinceNanos, this.askedNanos), nowNanos);
		long pendingMillis = millisSince(Math.max(this.stillSinceNanos, this.askedSinceNanos), nowNanos);
		return silentMillis >= SILENCE_MILLIS + later || pendingMillis >= PATIENCE_MILLIS + later;
	}

	private static long millisSince(long thenNanos, long nowNanos) {
		return TimeUnit.NANOSECONDS.toMillis(nowNanos - thenNanos);
	}

}
