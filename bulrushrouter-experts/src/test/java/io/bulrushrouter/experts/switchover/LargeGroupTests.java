package io.bulrushrouter.experts.switchover;

import java.util.SplittableRandom;

import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

import static com.google.common.truth.Truth.assertThat;

class LargeGroupTests {

	private static final int RANKS = 256;

	private static final int SWITCH_STEPS = 10;

	@ParameterizedTest
	@ValueSource(longs = { 1, 2, 3, 4, 5, 6 })
	void stepsOnOneMapUnderFaultsAndGoesOnAfterwards(long seed) {
		LargeGroup group = new LargeGroup(RANKS, new SplittableRandom(seed));
		group.runWithFaults(200_000);
		int committed = group.committed();
		long stopped = group.step();
		group.runHealed(SWITCH_STEPS);
		assertThat(group.step()).isAtLeast(stopped + SWITCH_STEPS - 1);
		group.startBalancer();
		group.runWithoutFaults(SWITCH_STEPS);
		System.out.println("256 ranks, seed " + seed + ": " + group.step() + " steps, " + committed
				+ " switches under faults, " + group.messages() + " messages");
		assertThat(group.allOn(group.newestVersion())).isTrue();
	}

	@Test
	void switchesWithoutDelayWithoutFaults() {
		LargeGroup group = new LargeGroup(RANKS, new SplittableRandom(1));
		group.startBalancer();
		int prepares = group.messages();
		group.runWithoutFaults(SWITCH_STEPS);
		assertThat(group.step()).isEqualTo(SWITCH_STEPS);
		assertThat(group.allOn(group.newestVersion())).isTrue();
		assertThat(prepares).isEqualTo(RANKS);
		assertThat(group.messages()).isEqualTo(4 * RANKS);
	}

}
