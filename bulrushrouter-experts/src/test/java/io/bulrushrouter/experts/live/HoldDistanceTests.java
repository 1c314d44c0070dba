package io.bulrushrouter.experts.live;

import java.util.concurrent.TimeUnit;

import org.junit.jupiter.api.Test;

import static com.google.common.truth.Truth.assertThat;

/**
 * Guards against holds that a group reaches before it is released, which make all of its
 * streams pause, and against holds so far ahead that the map is outdated.
 */
class HoldDistanceTests {

	private final HoldDistance distance = new HoldDistance();

	private long nowNanos;

	private long step = 7;

	@Test
	void holdsAtTheShortestDistanceWhileNoPassWasSeen() {
		assertThat(this.distance.passes()).isEqualTo(HoldDistance.MIN_PASSES);
		this.distance.observe(this.step, false, this.nowNanos);
		assertThat(this.distance.passes()).isEqualTo(HoldDistance.MIN_PASSES);
	}

	@Test
	void aSwitchOfUsualLengthEndsBeforeTheGroupReachesItsHold() {
		for (long passMillis : new long[] { 40, 80, 120, 200 }) {
			for (long switchMillis : new long[] { 30, 100, 200 }) {
				HoldDistance measured = new HoldDistance();
				for (int count = 0; count < 20; count++) {
					runPasses(measured, 5, passMillis);
					runSwitch(measured, switchMillis);
				}
				assertThat(measured.passes() * passMillis).isGreaterThan(switchMillis + passMillis);
			}
		}
	}

	@Test
	void followsSwitchesThatBecomeSlower() {
		runPasses(this.distance, 5, 50);
		for (int count = 0; count < 20; count++) {
			runSwitch(this.distance, 60);
		}
		int fast = this.distance.passes();
		for (int count = 0; count < 8; count++) {
			runSwitch(this.distance, 300);
		}
		assertThat(this.distance.passes()).isGreaterThan(fast);
		assertThat(this.distance.passes() * 50).isGreaterThan(300);
	}

	@Test
	void neverHoldsFurtherAheadThanTheLimit() {
		runPasses(this.distance, 5, 10);
		for (int count = 0; count < 20; count++) {
			runSwitch(this.distance, 4_000);
		}
		assertThat(this.distance.passes()).isEqualTo(HoldDistance.MAX_PASSES);
	}

	@Test
	void takesNeitherAHoldNorAnIdleGroupForLongPasses() {
		runPasses(this.distance, 10, 50);
		int before = this.distance.passes();
		this.distance.observe(this.step, true, this.nowNanos);
		advance(300);
		this.distance.observe(++this.step, true, this.nowNanos);
		advance(300);
		this.distance.observe(++this.step, false, this.nowNanos);
		advance(3_000);
		this.distance.observe(++this.step, false, this.nowNanos);
		assertThat(this.distance.passes()).isEqualTo(before);
	}

	private void runPasses(HoldDistance observer, int passes, long passMillis) {
		for (int pass = 0; pass < passes; pass++) {
			observer.observe(this.step, false, this.nowNanos);
			advance(passMillis);
			this.step++;
		}
		observer.observe(this.step, false, this.nowNanos);
	}

	private void runSwitch(HoldDistance observer, long millis) {
		observer.holdSent(this.nowNanos);
		advance(millis);
		observer.released(this.nowNanos);
		observer.observe(this.step, true, this.nowNanos);
	}

	private void advance(long millis) {
		this.nowNanos += TimeUnit.MILLISECONDS.toNanos(millis);
	}

}
