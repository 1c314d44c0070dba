package io.bulrushrouter.experts.live;

import java.util.ArrayList;
import java.util.List;
import java.util.SplittableRandom;

import org.junit.jupiter.api.Test;

import static com.google.common.truth.Truth.assertThat;

/**
 * Tests demand tracking from samples of choices.
 */
class DemandTrackerTests {

	private static final int EXPERTS = 40;

	private final DemandTracker demand = new DemandTracker(1, 2);

	private static ChoiceSample sample(long spanMillis, double... choices) {
		return new ChoiceSample(1, 1, spanMillis, choices);
	}

	@Test
	void addsUpTheChoicesOfSamples() {
		this.demand.observe(List.of(sample(0, 10, 20)), 1_000);
		this.demand.observe(List.of(sample(0, 1, 2)), 1_000);
		assertThat(this.demand.loads()[0]).usingTolerance(1e-9).containsExactly(11, 22).inOrder();
		assertThat(this.demand.totalChoices()).isWithin(1e-9).of(33.0);
	}

	@Test
	void decaysOlderDemand() {
		this.demand.observe(List.of(sample(0, 100, 0)), 1_000);
		this.demand.observe(List.of(sample(0, 0, 100)), 3_000);
		assertThat(this.demand.loads()[0][0]).isLessThan(5.0);
		assertThat(this.demand.loads()[0][1]).isEqualTo(100.0);
	}

	@Test
	void weighsChoicesOfALongSpanLikeThoseOfManyShortOnes() {
		DemandTracker often = new DemandTracker(1, 2);
		for (int millis = 10; millis <= 1_000; millis += 10) {
			often.observe(List.of(sample(10, 1, 2)), millis);
		}
		this.demand.observe(List.of(sample(1_000, 100, 200)), 1_000);
		assertThat(this.demand.loads()[0][0]).isWithin(0.5).of(often.loads()[0][0]);
		assertThat(this.demand.loads()[0][1]).isWithin(1.0).of(often.loads()[0][1]);
	}

	@Test
	void ignoresSamplesWithAnotherNumberOfExperts() {
		this.demand.observe(List.of(sample(0, 1, 2, 3)), 1_000);
		assertThat(this.demand.totalChoices()).isEqualTo(0.0);
	}

	// Choices of ranks that read a few prompts each, of which a quarter follows the topic
	// of the prompt.
	private static List<ChoiceSample> collection(int ranks, int promptsPerRank, int hotExpert,
			SplittableRandom random) {
		List<ChoiceSample> parts = new ArrayList<>();
		for (int rank = 0; rank < ranks; rank++) {
			double[] choices = new double[EXPERTS];
			for (int prompt = 0; prompt < promptsPerRank; prompt++) {
				choices[hotExpert] += 750;
				choices[random.nextInt(EXPERTS)] += 250;
			}
			parts.add(new ChoiceSample(1, 1, 0, choices));
		}
		return parts;
	}

	private static double shareOf(int expert, DemandTracker tracker) {
		return tracker.loads()[0][expert] / tracker.totalChoices();
	}

	@Test
	void followsAChangeWithTheFirstSampleAfterIt() {
		DemandTracker tracker = new DemandTracker(1, EXPERTS);
		SplittableRandom random = new SplittableRandom(7);
		for (int millis = 0; millis <= 900; millis += 300) {
			tracker.observe(collection(20, 3, 0, random), millis);
		}
		tracker.observe(collection(20, 3, 1, random), 1_200);
		assertThat(shareOf(0, tracker)).isLessThan(0.15);
		assertThat(shareOf(1, tracker)).isGreaterThan(0.6);
	}

	@Test
	void keepsEarlierDemandWhileSamplesDifferByChanceOnly() {
		SplittableRandom random = new SplittableRandom(8);
		DemandTracker tracker = new DemandTracker(1, EXPERTS);
		double before = 0;
		for (int millis = 0; millis <= 30_000; millis += 100) {
			// One prompt for each of two ranks: their samples differ much.
			tracker.observe(collection(2, 1, 0, random), millis);
			// Two samples of 2,000 choices each, weighed by age, leave more than one.
			assertThat(tracker.totalChoices()).isAtLeast(Math.min(before, 2_000 + 0.8 * 2_000));
			before = tracker.totalChoices();
		}
	}

}
