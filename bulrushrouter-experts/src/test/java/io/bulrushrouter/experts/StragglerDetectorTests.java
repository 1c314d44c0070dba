package io.bulrushrouter.experts;

import java.util.SplittableRandom;

import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

import static com.google.common.truth.Truth.assertThat;

class StragglerDetectorTests {

	private static final long STEP_NANOS = 40_000_000;

	private static final long SECOND = 1_000_000_000;

	private static final int STRAGGLER = 3;

	private final SplittableRandom random = new SplittableRandom(1);

	private void steps(StragglerDetector stragglers, int ranks, int from, int to, double speed, double noise) {
		for (int step = from; step < to; step++) {
			double[] times = new double[ranks];
			for (int rank = 0; rank < ranks; rank++) {
				double slow = (rank == STRAGGLER) ? 1 / speed : 1;
				times[rank] = 1000 * slow * Math.max(0.2, 1 + noise * this.random.nextGaussian());
			}
			times[this.random.nextInt(ranks)] = 0;
			stragglers.observe(step * STEP_NANOS, times);
		}
	}

	@ParameterizedTest
	@CsvSource({ "8,0.7,0.05", "64,0.7,0.05", "256,0.7,0.1", "256,0.5,0.02", "256,0.8,0.05" })
	void findsStragglerWithinThreeSecondsAndItsRecovery(int ranks, double speed, double noise) {
		StragglerDetector stragglers = StragglerDetector.of(ranks);
		steps(stragglers, ranks, 0, 500, 1, noise);
		steps(stragglers, ranks, 500, 575, speed, noise);
		assertThat(stragglers.speeds()[STRAGGLER]).isWithin(0.12).of(speed);
		steps(stragglers, ranks, 575, 700, speed, noise);
		assertThat(stragglers.speeds()[STRAGGLER]).isWithin(0.08).of(speed);
		steps(stragglers, ranks, 700, 900, 1, noise);
		assertThat(stragglers.speeds()[STRAGGLER]).isAtLeast(StragglerDetector.STRAGGLER_SPEED);
	}

	@ParameterizedTest
	@CsvSource({ "8,0.05", "64,0.1", "256,0.1" })
	void findsNoStragglerUnderNoise(int ranks, double noise) {
		StragglerDetector stragglers = StragglerDetector.of(ranks);
		for (int minute = 0; minute < 10; minute++) {
			steps(stragglers, ranks, minute * 1500, (minute + 1) * 1500, 1, noise);
			for (double speed : stragglers.speeds()) {
				assertThat(speed).isAtLeast(StragglerDetector.STRAGGLER_SPEED);
			}
		}
	}

	@Test
	void escalatesActionsInOrder() {
		StragglerDetector stragglers = StragglerDetector.of(8);
		steps(stragglers, 8, 0, 100, 1, 0.02);
		assertThat(action(stragglers, 4)).isEqualTo(StragglerAction.NONE);
		steps(stragglers, 8, 100, 200, 0.7, 0.02);
		assertThat(action(stragglers, 8)).isEqualTo(StragglerAction.REDUCE_SHARE);
		assertThat(action(stragglers, 60)).isEqualTo(StragglerAction.MOVE_EXPERTS);
		assertThat(action(stragglers, 700)).isEqualTo(StragglerAction.REQUEST_REPLACEMENT);
		assertThat(stragglers.slowdown(1.0)).isWithin(0.02).of(8 / 7.7);
		assertThat(stragglers.slowdown(1.4)).isWithin(0.02).of(1.4 * 8 / 7.7);
	}

	private static StragglerAction action(StragglerDetector stragglers, long second) {
		return stragglers.action(STRAGGLER, second * SECOND, 30 * SECOND, 600 * SECOND);
	}

}
