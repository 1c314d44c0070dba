package io.bulrushrouter.experts.live;

import java.util.Arrays;
import java.util.HashSet;
import java.util.Set;
import java.util.random.RandomGenerator;
import java.util.random.RandomGeneratorFactory;

import org.junit.jupiter.api.Test;

import static com.google.common.truth.Truth.assertThat;

/**
 * Tests plans for groups in which the replicas of an expert share its tokens evenly.
 */
class PlacementPlannerTests {

	private static final double COPY_SECONDS = 0.4;

	@Test
	void spreadsAHotExpertOverRanks() {
		double[][] demand = { evenDemand(96) };
		demand[0][43] = 40;
		PlacementPlan plan = new PlacementPlanner(new PlacementLimits(11, 4, 3), 0.004).plan(roundRobin(1, 96, 12),
				demand);
		assertThat(plan.skewBefore()).isGreaterThan(3.0);
		assertThat(plan.skewAfter()).isLessThan(1.25);
	}

	@Test
	void keepsEachExpertOnARankAndWithinTheLimits() {
		RandomGenerator random = RandomGeneratorFactory.of("L64X128MixRandom").create(7);
		int[][][] map = roundRobin(3, 96, 12);
		for (int round = 0; round < 40; round++) {
			PlacementPlan plan = PlacementPlanner.cheapest(map, skewedDemand(3, 96, 0.9, random),
					new PlacementLimits(11, 4, 3), 0.002, COPY_SECONDS);
			checkEveryExpertIsPlaced(plan.experts(), 96, 11);
			checkCopies(map, plan.experts(), 4, 3);
			assertThat(plan.skewAfter()).isAtMost(plan.skewBefore());
			map = plan.experts();
		}
	}

	@Test
	void leavesABalancedGroupUnchanged() {
		PlacementPlan plan = new PlacementPlanner(new PlacementLimits(11, 4, 3), 0.004).plan(roundRobin(2, 96, 12),
				new double[][] { evenDemand(96), evenDemand(96) });
		assertThat(plan.copies()).isEqualTo(0);
		assertThat(plan.worthwhile(COPY_SECONDS, 0.004)).isFalse();
	}

	@Test
	void copiesLessOnALightlyLoadedGroup() {
		RandomGenerator random = RandomGeneratorFactory.of("L64X128MixRandom").create(9);
		double[][] demand = skewedDemand(3, 96, 0.9, random);
		PlacementLimits limits = new PlacementLimits(11, 4, 3);
		int idle = new PlacementPlanner(limits, CopyThreshold.minGain(0.2, COPY_SECONDS))
			.plan(roundRobin(3, 96, 12), demand)
			.copies();
		int full = new PlacementPlanner(limits, CopyThreshold.minGain(0.9, COPY_SECONDS))
			.plan(roundRobin(3, 96, 12), demand)
			.copies();
		assertThat(idle).isLessThan(full);
	}

	@Test
	void prefersFewerCopiesWhenMoreGainLittle() {
		double[][] demand = { evenDemand(96) };
		demand[0][5] = 30;
		PlacementPlan plan = PlacementPlanner.cheapest(roundRobin(1, 96, 12), demand, new PlacementLimits(11, 4, 3),
				0.002, COPY_SECONDS);
		assertThat(plan.maxCopiesPerRank()).isEqualTo(1);
	}

	@Test
	void balancesManySetsOfSmallExperts() {
		RandomGenerator random = RandomGeneratorFactory.of("L64X128MixRandom").create(3);
		double secondsPerCopy = 0.08;
		double minGain = CopyThreshold.minGain(0.3, secondsPerCopy);
		int[][][] map = roundRobin(16, 96, 24);
		double[][] demand = skewedDemand(16, 96, 0.3, random);
		PlacementLimits limits = new PlacementLimits(5, 2, 17);
		PlacementPlan first = PlacementPlanner.cheapest(map, demand, limits, minGain, secondsPerCopy);
		assertThat(first.worthwhile(secondsPerCopy, minGain)).isTrue();
		for (int round = 0; round < 6; round++) {
			map = PlacementPlanner.cheapest(map, demand, limits, minGain, secondsPerCopy).experts();
		}
		double after = PlacementPlanner.cheapest(map, demand, limits, minGain, secondsPerCopy).skewBefore();
		assertThat(after).isLessThan(1.4);
	}

	private static double[] evenDemand(int experts) {
		double[] demand = new double[experts];
		Arrays.fill(demand, 1);
		return demand;
	}

	private static double[][] skewedDemand(int sets, int experts, double power, RandomGenerator random) {
		double[][] demand = new double[sets][experts];
		for (double[] set : demand) {
			Arrays.setAll(set, (expert) -> Math.pow(1 - random.nextDouble(), -power));
		}
		return demand;
	}

	private static int[][][] roundRobin(int sets, int experts, int ranks) {
		int[][][] map = new int[sets][ranks][experts / ranks];
		for (int set = 0; set < sets; set++) {
			for (int expert = 0; expert < experts; expert++) {
				map[set][expert % ranks][expert / ranks] = expert;
			}
		}
		return map;
	}

	private static void checkEveryExpertIsPlaced(int[][][] map, int experts, int slotsPerSet) {
		for (int[][] set : map) {
			Set<Integer> held = new HashSet<>();
			for (int[] rank : set) {
				assertThat(rank.length).isAtMost(slotsPerSet);
				assertThat(Arrays.stream(rank).distinct().count()).isEqualTo(rank.length);
				Arrays.stream(rank).forEach(held::add);
			}
			assertThat(held).hasSize(experts);
		}
	}

	private static void checkCopies(int[][][] before, int[][][] after, int maxCopiesPerSet, int maxCopiesPerRank) {
		for (int rank = 0; rank < before[0].length; rank++) {
			int copies = 0;
			for (int set = 0; set < before.length; set++) {
				Set<Integer> held = new HashSet<>();
				Arrays.stream(before[set][rank]).forEach(held::add);
				int setCopies = (int) Arrays.stream(after[set][rank])
					.filter((expert) -> !held.contains(expert))
					.count();
				assertThat(setCopies).isAtMost(maxCopiesPerSet);
				copies += setCopies;
			}
			assertThat(copies).isAtMost(maxCopiesPerRank);
		}
	}

}
