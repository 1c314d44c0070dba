package io.bulrushrouter.ranks;

import java.util.concurrent.TimeUnit;

import io.bulrushrouter.experts.live.GroupView;
import io.bulrushrouter.experts.live.RankStatus;

/**
 * Decides when a sidecar takes over a stalled group: once the leader has sent no requests
 * for some time, or has not resumed the group for a longer time. Sidecars of higher ranks
 * wait longer, so that usually only one takes over.
 */
final class StallDetector {

	/**
	 * Longer than a round of the leader in which requests and orders go unanswered, which
	 * is the longest time that a working leader sends no request.
	 */
	static final long SILENCE_TIMEOUT_MILLIS = 1_000;

	/**
	 * The same for the rank at which the group is held, which need not wait to learn
	 * whether the group only makes long passes.
	 */
	static final long HELD_SILENCE_TIMEOUT_MILLIS = 600;

	/**
	 * Longer than the leader needs to abort a switch if orders are lost.
	 */
	static final long PROGRESS_TIMEOUT_MILLIS = 4_000;

	/** Additional wait per rank, in which the sidecar of the rank below can take over. */
	static final long RANK_STAGGER_MILLIS = 300;

	/**
	 * Poll interval while the group makes passes or has no requests. Most sidecars lead
	 * nothing, so it is long; a stall is noticed within it, which is short beside the
	 * time after which a leader counts as silent.
	 */
	static final long PROGRESS_POLL_INTERVAL_MILLIS = 400;

	/**
	 * Poll interval while the group makes no passes, and during a switch at the rank at
	 * which the group is held.
	 */
	static final long STALL_POLL_INTERVAL_MILLIS = 100;

	/**
	 * A poll that is later than its interval by more than this means that this sidecar
	 * itself was paused.
	 */
	static final long MAX_POLL_DELAY_MILLIS = 400;

	private long lastRequestNanos;

	private long requestsSinceNanos;

	private long stalledSinceNanos;

	private long lastPollNanos;

	private long pollIntervalMillis = STALL_POLL_INTERVAL_MILLIS;

	private long epoch = -1;

	private long step = -1;

	/**
	 * Records a request of the group's leader.
	 * @param nowNanos the current time, in nanoseconds
	 */
	void recordRequest(long nowNanos) {
		if (nowNanos - this.lastRequestNanos > TimeUnit.MILLISECONDS.toNanos(SILENCE_TIMEOUT_MILLIS)) {
			this.requestsSinceNanos = nowNanos;
		}
		this.lastRequestNanos = nowNanos;
	}

	/**
	 * Evaluates a new status and decides whether this sidecar takes over the group.
	 * @param status the status of this sidecar's rank, whose group is open
	 * @param nowNanos the current time, in nanoseconds
	 * @return whether this sidecar takes over
	 */
	boolean shouldTakeOver(RankStatus status, long nowNanos) {
		boolean selfPaused = nowNanos - this.lastPollNanos > TimeUnit.MILLISECONDS
			.toNanos(this.pollIntervalMillis + MAX_POLL_DELAY_MILLIS);
		this.lastPollNanos = nowNanos;
		if (selfPaused) {
			this.lastRequestNanos = nowNanos;
			this.requestsSinceNanos = nowNanos;
		}
		boolean progressingOrIdle = status.step() != this.step || status.epoch() != this.epoch || status.running() == 0;
		this.pollIntervalMillis = (progressingOrIdle && !mayBeHeldSoon(status)) ? PROGRESS_POLL_INTERVAL_MILLIS
				: STALL_POLL_INTERVAL_MILLIS;
		if (selfPaused || progressingOrIdle) {
			this.step = status.step();
			this.epoch = status.epoch();
			this.stalledSinceNanos = nowNanos;
			return false;
		}
		long staggerMillis = RANK_STAGGER_MILLIS * Math.max(0, status.rank() - 1);
		long silentMillis = millisSince(Math.max(this.stalledSinceNanos, this.lastRequestNanos), nowNanos);
		long unresolvedMillis = millisSince(Math.max(this.stalledSinceNanos, this.requestsSinceNanos), nowNanos);
		long silenceTimeoutMillis = status.held().isPresent() ? HELD_SILENCE_TIMEOUT_MILLIS : SILENCE_TIMEOUT_MILLIS;
		return silentMillis >= silenceTimeoutMillis + staggerMillis
				|| unresolvedMillis >= PROGRESS_TIMEOUT_MILLIS + staggerMillis;
	}

	/**
	 * Returns whether the leader may hold the group at a rank soon.
	 * @param status the status of the rank
	 * @return whether the group is held at this rank during a switch, which is in
	 * progress
	 */
	static boolean mayBeHeldSoon(RankStatus status) {
		return status.rank() == GroupView.HOLD_RANK && (status.prepared().isPresent() || status.held().isPresent());
	}

	/**
	 * Returns when the status is to be evaluated again.
	 * @return the interval until the next evaluation, in milliseconds
	 */
	long pollIntervalMillis() {
		return this.pollIntervalMillis;
	}

	private static long millisSince(long startNanos, long nowNanos) {
		return TimeUnit.NANOSECONDS.toMillis(nowNanos - startNanos);
	}

}
