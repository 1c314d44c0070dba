package io.bulrushrouter.experts;

import java.time.Duration;
import java.util.SplittableRandom;

import org.junit.jupiter.api.Test;

import static com.google.common.truth.Truth.assertThat;

class PopularityTrackerTests {

	private static final GroupShape SHAPE = GroupShape.of(1, 4, 2, 2);

	private final PopularityTracker popularity = PopularityTracker.of(SHAPE, Duration.ofSeconds(10),
			Duration.ofSeconds(100));

	private final SplittableRandom random = new SplittableRandom(1);

	private boolean report(int rank, long sequence, long second, int... tokens) {
		return this.popularity
			.observe(new PopularityReport(rank, sequence, 0, Duration.ofSeconds(second).toNanos(), tokens));
	}

	private int[] noisy(double... means) {
		int[] tokens = new int[means.length];
		for (int expert = 0; expert < means.length; expert++) {
			tokens[expert] = (int) (means[expert] + Math.sqrt(means[expert]) * this.random.nextGaussian());
		}
		return tokens;
	}

	@Test
	void assumesEqualPopularityBeforeReports() {
		assertThat(this.popularity.shares(0)).usingTolerance(1e-9).containsExactly(0.25, 0.25, 0.25, 0.25).inOrder();
	}

	@Test
	void dropsDuplicateAndExpiredReports() {
		assertThat(report(0, 100, 5, 10, 10, 10, 10)).isTrue();
		assertThat(report(0, 100, 5, 90, 0, 0, 0)).isFalse();
		assertThat(report(0, 98, 4, 10, 10, 10, 10)).isTrue();
		assertThat(report(0, 98, 4, 90, 0, 0, 0)).isFalse();
		assertThat(report(0, 30, 1, 90, 0, 0, 0)).isFalse();
		assertThat(report(1, 100, 5, 10, 10, 10, 10)).isTrue();
		assertThat(this.popularity.shares(0)).usingTolerance(1e-9).containsExactly(0.25, 0.25, 0.25, 0.25).inOrder();
	}

	@Test
	void weightsLateReportByItsAge() {
		report(0, 1, 1000, 0, 100, 0, 0);
		report(0, 0, 900, 100, 0, 0, 0);
		double[] shares = this.popularity.shares(0);
		assertThat(shares[0]).isLessThan(0.4);
		assertThat(shares[1]).isGreaterThan(0.6);
	}

	@Test
	void staysAtSlowAverageUnderNoiseAndFollowsDrift() {
		long second = 0;
		for (; second < 300; second++) {
			if (second % 7 != 0) {
				report(0, second, second, noisy(400, 300, 200, 100));
			}
		}
		assertThat(this.popularity.drift(0)).isLessThan(3.0);
		assertThat(this.popularity.shares(0)).usingTolerance(0.01).containsExactly(0.4, 0.3, 0.2, 0.1).inOrder();
		for (; second < 330; second++) {
			report(0, second, second, noisy(100, 300, 200, 400));
		}
		assertThat(this.popularity.drift(0)).isGreaterThan(50.0);
		assertThat(this.popularity.shares(0)[3]).isGreaterThan(0.33);
	}

}
