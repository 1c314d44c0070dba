package io.bulrushrouter.bench.groupmaps;

import org.junit.jupiter.api.Test;

import io.bulrushrouter.bench.groupmaps.GroupSimulation.Result;

import static com.google.common.truth.Truth.assertThat;

/**
 * Tests for the expert map rules in a simulated group whose demand shifts.
 */
class GroupMapsTests {

	private static final GroupParameters GROUP = new GroupParameters("small", 12, 3, 96, 11, 4, 0.4, 1.3, 2, 0.1, 30);

	private static Result simulate(MapRule rule) {
		return new GroupSimulation(GROUP, rule, 1).run();
	}

	@Test
	void policyHasHigherThroughputThanInitialMapAndImmediateReplanning() {
		double policy = simulate(MapRule.ofPolicy(GROUP)).tokensPerSecond();
		assertThat(policy).isGreaterThan(1.5 * simulate(MapRule.ofInitialMap()).tokensPerSecond());
		assertThat(policy).isGreaterThan(simulate(MapRule.ofReplanning(GROUP)).tokensPerSecond());
	}

	@Test
	void policyCopiesLessThanHalfAsMuchAsImmediateReplanning() {
		assertThat(simulate(MapRule.ofPolicy(GROUP)).copies())
			.isLessThan(simulate(MapRule.ofReplanning(GROUP)).copies() / 2);
	}

	@Test
	void oracleHasHigherThroughputThanPolicy() {
		double oracle = simulate(MapRule.ofOracle(GROUP, GroupSimulation.SHIFT_INTERVAL_SECONDS)).tokensPerSecond();
		assertThat(oracle).isGreaterThan(simulate(MapRule.ofPolicy(GROUP)).tokensPerSecond());
	}

	@Test
	void runsWithTheSameSeedAreEqual() {
		assertThat(simulate(MapRule.ofPolicy(GROUP))).isEqualTo(simulate(MapRule.ofPolicy(GROUP)));
	}

}
