package io.bulrushrouter.experts.live;

import org.junit.jupiter.api.Test;

import static com.google.common.truth.Truth.assertThat;

/**
 * Tests demand tracking from samples of choices.
 */
class DemandTrackerTests {

	private final DemandTracker demand = new DemandTracker(1, 2);

	private static ChoiceSample sample(long spanMillis, double... choices) {
		return new ChoiceSample(1, 1, spanMillis, choices);
	}

	@Test
	void addsUpTheChoicesOfSamples() {
		this.demand.observe(sample(0, 10, 20), 1_000);
		this.demand.observe(sample(0, 1, 2), 1_000);
		assertThat(this.demand.loads()[0]).usingTolerance(1e-9).containsExactly(11, 22).inOrder();
		assertThat(this.demand.totalChoices()).isWithin(1e-9).of(33.0);
	}

	@Test
	void decaysOlderDemand() {
		this.demand.observe(sample(0, 100, 0), 1_000);
		this.demand.observe(sample(0, 0, 100), 3_000);
		assertThat(this.demand.loads()[0][0]).isLessThan(5.0);
		assertThat(this.demand.loads()[0][1]).isEqualTo(100.0);
	}

	@Test
	void weighsChoicesOfALongSpanLikeThoseOfManyShortOnes() {
		DemandTracker often = new DemandTracker(1, 2);
		for (int millis = 10; millis <= 1_000; millis += 10) {
			often.observe(sample(10, 1, 2), millis);
		}
		this.demand.observe(sample(1_000, 100, 200), 1_000);
		assertThat(this.demand.loads()[0][0]).isWithin(0.5).of(often.loads()[0][0]);
		assertThat(this.demand.loads()[0][1]).isWithin(1.0).of(often.loads()[0][1]);
	}

	@Test
	void ignoresSamplesWithAnotherNumberOfExperts() {
		this.demand.observe(sample(0, 1, 2, 3), 1_000);
		assertThat(this.demand.totalChoices()).isEqualTo(0.0);
	}

}
