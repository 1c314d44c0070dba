package io.bulrushrouter.experts.live;

import org.junit.jupiter.api.Test;

import static com.google.common.truth.Truth.assertThat;

/**
 * Tests demand tracking from cumulative counts.
 */
class DemandTrackerTests {

	@Test
	void countsChoicesSinceThePreviousReport() {
		DemandTracker demand = new DemandTracker(1, 2);
		demand.observe(1, 0, new long[] { 100, 5 }, 1_000);
		assertThat(demand.totalChoices()).isEqualTo(0.0);
		demand.observe(1, 0, new long[] { 110, 25 }, 1_000);
		assertThat(demand.loads()[0]).usingTolerance(1e-9).containsExactly(10, 20).inOrder();
	}

	@Test
	void decaysOlderDemand() {
		DemandTracker demand = new DemandTracker(1, 2);
		demand.observe(1, 0, new long[] { 0, 0 }, 1_000);
		demand.observe(1, 0, new long[] { 100, 0 }, 1_000);
		demand.observe(1, 0, new long[] { 100, 100 }, 3_000);
		assertThat(demand.loads()[0][0]).isLessThan(5.0);
		assertThat(demand.loads()[0][1]).isEqualTo(100.0);
	}

	@Test
	void acceptsCountsOfARestartedRank() {
		DemandTracker demand = new DemandTracker(1, 2);
		demand.observe(1, 0, new long[] { 100, 100 }, 1_000);
		demand.observe(1, 0, new long[] { 3, 4 }, 1_000);
		assertThat(demand.loads()[0]).usingTolerance(1e-9).containsExactly(3, 4).inOrder();
	}

	@Test
	void discardsCountsOfAnEarlierEpoch() {
		DemandTracker demand = new DemandTracker(1, 2);
		demand.observe(1, 0, new long[] { 0, 0 }, 1_000);
		demand.observe(2, 0, new long[] { 50, 60 }, 1_000);
		assertThat(demand.totalChoices()).isEqualTo(0.0);
	}

}
