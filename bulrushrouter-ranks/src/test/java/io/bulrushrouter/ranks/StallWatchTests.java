package io.bulrushrouter.ranks;

import java.util.Optional;
import java.util.OptionalLong;
import java.util.concurrent.TimeUnit;

import org.junit.jupiter.api.Test;

import io.bulrushrouter.experts.live.RankStatus;

import static com.google.common.truth.Truth.assertThat;

/**
 * When a process looks after a group that stands still.
 */
class StallWatchTests {

	private static final long LOOK_MILLIS = 100;

	private final StallWatch watch = new StallWatch();

	private long nowMillis = 50_000;

	private static RankStatus status(int rank, long step, int running) {
		return new RankStatus("g", 1, rank, 4, true, running, step, 0, OptionalLong.empty(), Optional.empty(),
				OptionalLong.empty());
	}

	/**
	 * Looks again and again at a group that stands still.
	 * @param status the status that each look finds
	 * @param mostMillis how long
	 * @param asked whether another process asks meanwhile
	 * @return after how many milliseconds this process is to act, or -1
	 */
	private long dueAfter(RankStatus status, long mostMillis, boolean asked) {
		long start = this.nowMillis;
		while (this.nowMillis - start <= mostMillis) {
			if (asked) {
				this.watch.asked(TimeUnit.MILLISECONDS.toNanos(this.nowMillis));
			}
			if (this.watch.due(status, TimeUnit.MILLISECONDS.toNanos(this.nowMillis))) {
				return this.nowMillis - start;
			}
			this.nowMillis += LOOK_MILLIS;
		}
		return -1;
	}

	@Test
	void actsSoonOnceNobodyAsks() {
		assertThat(dueAfter(status(0, 7, 3), 10_000, false)).isEqualTo(StallWatch.SILENCE_MILLIS);
	}

	@Test
	void actsLaterBesideAHigherRank() {
		assertThat(dueAfter(status(3, 7, 3), 10_000, false))
			.isEqualTo(StallWatch.SILENCE_MILLIS + 2 * StallWatch.MILLIS_FOR_RANK);
	}

	@Test
	void leavesTheProcessThatAsksTimeToGiveUpItsSwitch() {
		assertThat(dueAfter(status(0, 7, 3), 10_000, true)).isEqualTo(StallWatch.PATIENCE_MILLIS);
	}

	@Test
	void leavesAProcessThatTookOverAsMuchTime() {
		assertThat(dueAfter(status(3, 7, 3), StallWatch.SILENCE_MILLIS + 500, false)).isEqualTo(-1);
		assertThat(dueAfter(status(3, 7, 3), StallWatch.PATIENCE_MILLIS - LOOK_MILLIS, true)).isEqualTo(-1);
	}

	@Test
	void neverActsForAGroupThatMoves() {
		for (int step = 0; step < 100; step++) {
			assertThat(dueAfter(status(1, step, 3), StallWatch.SILENCE_MILLIS / 2, false)).isEqualTo(-1);
		}
	}

	@Test
	void neverActsForAnIdleGroup() {
		assertThat(dueAfter(status(1, 7, 0), 60_000, false)).isEqualTo(-1);
	}

	@Test
	void startsAnewAfterItStoodStillItself() {
		assertThat(dueAfter(status(1, 7, 3), StallWatch.SILENCE_MILLIS - LOOK_MILLIS, false)).isEqualTo(-1);
		this.nowMillis += 4_000;
		assertThat(dueAfter(status(0, 7, 3), 10_000, false)).isEqualTo(StallWatch.SILENCE_MILLIS);
	}

}
