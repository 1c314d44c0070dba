package io.bulrushrouter.bench.groupmaps;

import org.junit.jupiter.api.Test;

import io.bulrushrouter.bench.groupmaps.GroupSimulation.Result;

import static com.google.common.truth.Truth.assertThat;

/**
 * The rules for maps in the model of a group whose demand turns.
 */
class GroupMapsTests {

	private static final GroupParameters GROUP = new GroupParameters("small", 12, 3, 96, 11, 4, 0.4, 1.3, 30);

	private static Result play(MapRule rule) {
		return new GroupSimulation(GROUP, rule, 1).run();
	}

	@Test
	void thePolicyServesMoreThanTheFirstMapAndThanReplanningAtOnce() {
		double ours = play(MapRule.ofPolicy(GROUP)).tokensPerSecond();
		assertThat(ours).isGreaterThan(1.5 * play(MapRule.ofInitialMap()).tokensPerSecond());
		assertThat(ours).isGreaterThan(play(MapRule.ofReplanning(GROUP)).tokensPerSecond());
	}

	@Test
	void thePolicyCopiesLessThanHalfOfWhatReplanningAtOnceDoes() {
		assertThat(play(MapRule.ofPolicy(GROUP)).copies()).isLessThan(play(MapRule.ofReplanning(GROUP)).copies() / 2);
	}

	@Test
	void knowingTheFutureServesTheMost() {
		double future = play(MapRule.ofOracle(GROUP, GroupSimulation.SHIFT_INTERVAL_SECONDS)).tokensPerSecond();
		assertThat(future).isGreaterThan(play(MapRule.ofPolicy(GROUP)).tokensPerSecond());
	}

	@Test
	void playsOfASeedAreEqual() {
		assertThat(play(MapRule.ofPolicy(GROUP))).isEqualTo(play(MapRule.ofPolicy(GROUP)));
	}

}
