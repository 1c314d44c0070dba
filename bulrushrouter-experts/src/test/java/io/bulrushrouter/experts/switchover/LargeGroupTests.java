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
	void usesOneMapPerStepUnderFaultsAndResumesAfterwards(long seed) {
		LargeGroup group = new LargeGroup(RANKS, new SplittableRandom(seed));
		group.runWithFaults(200_000);
		int committed = group.committedSwitches();
		long stepBeforeHealing = group.step();
		group.runHealed(SWITCH_STEPS);
		assertThat(group.step()).isAtLeast(stepBeforeHealing + SWITCH_STEPS - 1);
		group.startBalancer();
		group.runWithoutFaults(SWITCH_STEPS);
		System.out.println("256 ranks, seed " + seed + ": " + group.step() + " steps, " + committed
				+ " switches under faults, " + group.messagesSent() + " messages");
		assertThat(group.allRanksUse(group.latestVersion())).isTrue();
	}

	@Test
	void switchesWithoutDelayWithoutFaults() {
		LargeGroup group = new LargeGroup(RANKS, new SplittableRandom(1));
		group.startBalancer();
		int prepareMessages = group.messagesSent();
		group.runWithoutFaults(SWITCH_STEPS);
		assertThat(group.step()).isEqualTo(SWITCH_STEPS);
		assertThat(group.allRanksUse(group.latestVersion())).isTrue();
		assertThat(prepareMessages).isEqualTo(RANKS);
		assertThat(group.messagesSent()).isEqualTo(4 * RANKS);
	}

}
