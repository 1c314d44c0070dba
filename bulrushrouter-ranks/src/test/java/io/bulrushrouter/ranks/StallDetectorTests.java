package io.bulrushrouter.ranks;

import java.util.Optional;
import java.util.OptionalLong;
import java.util.concurrent.TimeUnit;

import org.junit.jupiter.api.Test;

import io.bulrushrouter.experts.live.RankStatus;

import static com.google.common.truth.Truth.assertThat;

/**
 * Tests of when a sidecar takes over a stalled group.
 */
class StallDetectorTests {

	private static final long POLL_INTERVAL_MILLIS = 100;

	private final StallDetector detector = new StallDetector();

	private long nowMillis = 50_000;

	private static RankStatus status(int rank, long step, int running) {
		return new RankStatus("g", 1, rank, 4, true, running, step, 0, OptionalLong.empty(), Optional.empty(),
				OptionalLong.empty());
	}

	/**
	 * Polls a stalled group repeatedly.
	 * @param status the status that each poll returns
	 * @param maxMillis the time to poll for, in milliseconds
	 * @param leaderActive whether a leader keeps sending requests
	 * @return the time until this sidecar takes over, in milliseconds, or -1 if it does
	 * not
	 */
	private long millisUntilTakeover(RankStatus status, long maxMillis, boolean leaderActive) {
		long start = this.nowMillis;
		while (this.nowMillis - start <= maxMillis) {
			if (leaderActive) {
				this.detector.recordRequest(TimeUnit.MILLISECONDS.toNanos(this.nowMillis));
			}
			if (this.detector.shouldTakeOver(status, TimeUnit.MILLISECONDS.toNanos(this.nowMillis))) {
				return this.nowMillis - start;
			}
			this.nowMillis += POLL_INTERVAL_MILLIS;
		}
		return -1;
	}

	@Test
	void takesOverSoonIfNobodySendsRequests() {
		assertThat(millisUntilTakeover(status(0, 7, 3), 10_000, false)).isEqualTo(StallDetector.SILENCE_TIMEOUT_MILLIS);
	}

	@Test
	void takesOverSoonerWhereTheGroupIsHeld() {
		RankStatus held = new RankStatus("g", 1, 1, 4, true, 3, 7, 0, OptionalLong.empty(), Optional.empty(),
				OptionalLong.of(8));
		assertThat(millisUntilTakeover(held, 10_000, false)).isEqualTo(StallDetector.HELD_SILENCE_TIMEOUT_MILLIS);
	}

	@Test
	void pollsOftenDuringASwitchWhereTheGroupIsHeld() {
		for (int rank = 0; rank < 3; rank++) {
			RankStatus prepared = new RankStatus("g", 1, rank, 4, true, 3, 7 + rank, 0, OptionalLong.of(5),
					Optional.empty(), OptionalLong.empty());
			this.detector.shouldTakeOver(prepared, TimeUnit.MILLISECONDS.toNanos(this.nowMillis));
			assertThat(this.detector.pollIntervalMillis()).isEqualTo((rank == 1)
					? StallDetector.STALL_POLL_INTERVAL_MILLIS : StallDetector.PROGRESS_POLL_INTERVAL_MILLIS);
		}
	}

	@Test
	void takesOverLaterBesideAHigherRank() {
		assertThat(millisUntilTakeover(status(3, 7, 3), 10_000, false))
			.isEqualTo(StallDetector.SILENCE_TIMEOUT_MILLIS + 2 * StallDetector.RANK_STAGGER_MILLIS);
	}

	@Test
	void leavesTheLeaderTimeToAbortItsSwitch() {
		assertThat(millisUntilTakeover(status(0, 7, 3), 10_000, true)).isEqualTo(StallDetector.PROGRESS_TIMEOUT_MILLIS);
	}

	@Test
	void leavesANewLeaderTheSameTime() {
		assertThat(millisUntilTakeover(status(3, 7, 3), StallDetector.SILENCE_TIMEOUT_MILLIS + 500, false))
			.isEqualTo(-1);
		assertThat(millisUntilTakeover(status(3, 7, 3), StallDetector.PROGRESS_TIMEOUT_MILLIS - POLL_INTERVAL_MILLIS,
				true))
			.isEqualTo(-1);
	}

	@Test
	void neverTakesOverAGroupThatMakesProgress() {
		for (int step = 0; step < 100; step++) {
			assertThat(millisUntilTakeover(status(1, step, 3), StallDetector.SILENCE_TIMEOUT_MILLIS / 2, false))
				.isEqualTo(-1);
		}
	}

	@Test
	void neverTakesOverAnIdleGroup() {
		assertThat(millisUntilTakeover(status(1, 7, 0), 60_000, false)).isEqualTo(-1);
	}

	@Test
	void pollsOftenOnlyWhileAGroupWithRequestsMakesNoPasses() {
		this.detector.shouldTakeOver(status(1, 7, 3), TimeUnit.MILLISECONDS.toNanos(50_000));
		assertThat(this.detector.pollIntervalMillis()).isEqualTo(StallDetector.PROGRESS_POLL_INTERVAL_MILLIS);
		this.detector.shouldTakeOver(status(1, 7, 3), TimeUnit.MILLISECONDS.toNanos(50_400));
		assertThat(this.detector.pollIntervalMillis()).isEqualTo(StallDetector.STALL_POLL_INTERVAL_MILLIS);
		this.detector.shouldTakeOver(status(1, 8, 3), TimeUnit.MILLISECONDS.toNanos(50_500));
		assertThat(this.detector.pollIntervalMillis()).isEqualTo(StallDetector.PROGRESS_POLL_INTERVAL_MILLIS);
	}

	@Test
	void takesOverWithinItsTimeoutAndOneIntervalWhenItPollsAtItsOwnPace() {
		this.detector.shouldTakeOver(status(1, 7, 3), TimeUnit.MILLISECONDS.toNanos(this.nowMillis));
		long start = this.nowMillis;
		do {
			this.nowMillis += this.detector.pollIntervalMillis();
		}
		while (!this.detector.shouldTakeOver(status(1, 7, 3), TimeUnit.MILLISECONDS.toNanos(this.nowMillis)));
		assertThat(this.nowMillis - start)
			.isAtMost(StallDetector.SILENCE_TIMEOUT_MILLIS + StallDetector.PROGRESS_POLL_INTERVAL_MILLIS);
	}

	@Test
	void restartsItsTimersAfterItWasPausedItself() {
		assertThat(millisUntilTakeover(status(1, 7, 3), StallDetector.SILENCE_TIMEOUT_MILLIS - POLL_INTERVAL_MILLIS,
				false))
			.isEqualTo(-1);
		this.nowMillis += 4_000;
		assertThat(millisUntilTakeover(status(0, 7, 3), 10_000, false)).isEqualTo(StallDetector.SILENCE_TIMEOUT_MILLIS);
	}

}
