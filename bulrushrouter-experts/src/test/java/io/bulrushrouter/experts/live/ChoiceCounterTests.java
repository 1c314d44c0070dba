package io.bulrushrouter.experts.live;

import java.util.Optional;

import org.junit.jupiter.api.Test;

import static com.google.common.truth.Truth.assertThat;

/**
 * Tests of the choices between two readings of cumulative counts.
 */
class ChoiceCounterTests {

	private final ChoiceCounter counter = new ChoiceCounter();

	private Optional<ChoiceSample> read(long epoch, long nowMillis, long... counts) {
		return this.counter.read(epoch, counts, nowMillis);
	}

	@Test
	void countsChoicesSinceThePreviousReading() {
		assertThat(read(1, 1_000, 100, 5)).isEqualTo(Optional.empty());
		ChoiceSample sample = read(1, 1_250, 110, 25).orElseThrow();
		assertThat(sample.choices()).usingTolerance(1e-9).containsExactly(10, 20).inOrder();
		assertThat(sample.spanMillis()).isEqualTo(250);
		assertThat(sample.epoch()).isEqualTo(1);
		assertThat(sample.ranks()).isEqualTo(1);
	}

	@Test
	void acceptsCountsOfARestartedRank() {
		read(1, 1_000, 100, 100);
		assertThat(read(1, 1_000, 3, 4).orElseThrow().choices()).usingTolerance(1e-9).containsExactly(3, 4).inOrder();
	}

	@Test
	void discardsCountsOfAnEarlierEpoch() {
		read(1, 1_000, 0, 0);
		assertThat(read(2, 1_000, 50, 60)).isEqualTo(Optional.empty());
		assertThat(read(2, 1_000, 51, 60).orElseThrow().choices()).usingTolerance(1e-9).containsExactly(1, 0).inOrder();
	}

	@Test
	void addsUpSamplesOfTheSameEpoch() {
		ChoiceSample one = new ChoiceSample(1, 1, 100, new double[] { 1, 2 });
		ChoiceSample sum = one.plus(new ChoiceSample(1, 2, 300, new double[] { 10, 20 }));
		assertThat(sum.choices()).usingTolerance(1e-9).containsExactly(11, 22).inOrder();
		assertThat(sum.ranks()).isEqualTo(3);
		assertThat(sum.spanMillis()).isEqualTo(300);
	}

	@Test
	void leavesOutSamplesThatDoNotMatch() {
		ChoiceSample one = new ChoiceSample(1, 1, 100, new double[] { 1, 2 });
		assertThat(one.plus(new ChoiceSample(2, 1, 100, new double[] { 10, 20 }))).isSameInstanceAs(one);
		assertThat(one.plus(new ChoiceSample(1, 1, 100, new double[] { 10 }))).isSameInstanceAs(one);
	}

}
