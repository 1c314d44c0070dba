package io.bulrushrouter.experts.planning;

import java.util.Arrays;
import java.util.List;
import java.util.SplittableRandom;

import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.ValueSource;

import io.bulrushrouter.experts.ExpertMap;
import io.bulrushrouter.experts.GroupShape;
import io.bulrushrouter.kernel.plugin.PluginRegistry;

import static com.google.common.truth.Truth.assertThat;

class ExpertPlannersTests {

	private static final int LAYERS = 2;

	private static final int EXPERTS = 256;

	private static final PlanRequest.WeightStore WEIGHTS = new PlanRequest.WeightStore(44_040_192, 8e9);

	private final SplittableRandom random = new SplittableRandom(1);

	private final double[][] expertLoads = zipfLoads();

	private double[][] zipfLoads() {
		double[][] loads = new double[LAYERS][EXPERTS];
		for (double[] layer : loads) {
			for (int expert = 0; expert < EXPERTS; expert++) {
				layer[expert] = 1.0 / (1 + expert);
			}
			shuffle(layer, EXPERTS);
		}
		return loads;
	}

	private void shuffle(double[] layer, int swaps) {
		for (int swap = 0; swap < swaps; swap++) {
			int one = this.random.nextInt(layer.length);
			int other = this.random.nextInt(layer.length);
			double swapped = layer[one];
			layer[one] = layer[other];
			layer[other] = swapped;
		}
	}

	private void applyDrift(double deviation) {
		for (double[] layer : this.expertLoads) {
			for (int expert = 0; expert < EXPERTS; expert++) {
				layer[expert] *= Math.exp(deviation * this.random.nextGaussian());
			}
		}
	}

	private PlanRequest request(ExpertMap map, double[] speeds, PlanProfile profile, boolean attended) {
		int[] instances = new int[speeds.length];
		Arrays.setAll(instances, (rank) -> rank / 8);
		return new PlanRequest(map, this.expertLoads, speeds, instances, profile, WEIGHTS, attended, 1e6);
	}

	private static double[] speeds(int ranks) {
		double[] speeds = new double[ranks];
		Arrays.fill(speeds, 1);
		return speeds;
	}

	private ExpertMap rebuiltMap(int ranks, int slots) {
		ExpertMap empty = ExpertMap.ofRoundRobin(1, GroupShape.of(LAYERS, EXPERTS, ranks, slots));
		return ExpertPlanners.ofRebuild().plan(request(empty, speeds(ranks), PlanProfile.ofLowSkew(), true)).map();
	}

	@ParameterizedTest
	@CsvSource({ "8,34", "64,5", "256,2", "32,9" })
	void rebuildsMapWithNearlyEqualTimes(int ranks, int slots) {
		ExpertMap map = rebuiltMap(ranks, slots);
		double skew = GroupSkew.of(map, this.expertLoads, speeds(ranks));
		assertThat(skew).isAtLeast(GroupSkew.lowerBound(map.shape(), this.expertLoads) - 1e-9);
		assertThat(skew).isAtMost(1.02);
	}

	@ParameterizedTest
	@CsvSource({ "8,34,0.1", "64,5,0.1", "256,2,0.05" })
	void fitsSharesUnderSmallDriftWithFewWeightLoads(int ranks, int slots, double drift) {
		ExpertMap map = rebuiltMap(ranks, slots);
		applyDrift(drift);
		ExpertPlan plan = ExpertPlanners.ofFitted().plan(request(map, speeds(ranks), PlanProfile.ofLowSkew(), true));
		assertThat(plan.skewAfter()).isLessThan(plan.skewBefore());
		assertThat(GroupSkew.of(plan.map(), this.expertLoads, speeds(ranks))).isWithin(0.01).of(plan.skewAfter());
		assertThat(plan.skewAfter()).isAtMost(1.05);
		assertThat(plan.weightLoads()).isAtMost(plan.map().shape().slotsOfLayer() * LAYERS / 4);
		assertThat(plan.weightLoads()).isEqualTo(plan.map().loads(map));
	}

	@ParameterizedTest
	@ValueSource(ints = { 8, 64, 256 })
	void givesStragglerFewerTokens(int ranks) {
		ExpertMap map = rebuiltMap(ranks, (ranks == 8) ? 34 : (ranks == 64) ? 5 : 2);
		double[] speeds = speeds(ranks);
		speeds[ranks / 2] = 0.7;
		double before = GroupSkew.of(map, this.expertLoads, speeds);
		ExpertPlan plan = ExpertPlanners.ofFitted().plan(request(map, speeds, PlanProfile.ofLowSkew(), true));
		assertThat(before).isAtLeast(1.3);
		assertThat(plan.skewAfter()).isAtMost(1.05);
	}

	@Test
	void movesNothingInUnattendedHoursBelowEmergencySkew() {
		ExpertMap map = rebuiltMap(64, 5);
		for (double[] layer : this.expertLoads) {
			shuffle(layer, 8);
		}
		PlanProfile calm = new PlanProfile("calm", 1.02, 1.12, 1.05, 1000, false, 1, 1, 3600, 900, 120);
		PlanProfile alarmed = new PlanProfile("alarmed", 1.02, 1.12, 1.05, 1.1, false, 1, 1, 3600, 900, 120);
		assertThat(plan(map, calm, false).weightLoads()).isEqualTo(0);
		assertThat(plan(map, calm, true).weightLoads()).isGreaterThan(0);
		assertThat(plan(map, alarmed, false).weightLoads()).isGreaterThan(0);
	}

	private ExpertPlan plan(ExpertMap map, PlanProfile profile, boolean attended) {
		return ExpertPlanners.ofFitted().plan(request(map, speeds(64), profile, attended));
	}

	@Test
	void movesOnlyWhatIsWorthwhileAndFitsTheTransferLimit() {
		ExpertMap map = rebuiltMap(64, 5);
		for (double[] layer : this.expertLoads) {
			shuffle(layer, 64);
		}
		PlanProfile costly = new PlanProfile("dear", 1.02, 1.12, 1.05, 1.1, true, 1, 1e9, 3600, 900, 120);
		PlanProfile shortTransfer = new PlanProfile("narrow", 1.02, 1.12, 1.05, 1.1, true, 1, 1, 3600, 900, 0.1);
		assertThat(plan(map, costly, true).weightLoads()).isEqualTo(0);
		ExpertPlan bounded = plan(map, shortTransfer, true);
		assertThat(bounded.weightLoads()).isGreaterThan(0);
		assertThat(WEIGHTS.transferSeconds(bounded.weightLoads())).isAtMost(0.1);
	}

	@Test
	void keepsGoodMap() {
		ExpertMap map = rebuiltMap(64, 5);
		for (ExpertPlanner planner : List.of(ExpertPlanners.ofStatic(), ExpertPlanners.ofRebuild(),
				ExpertPlanners.ofGreedy(), ExpertPlanners.ofFitted())) {
			ExpertPlan plan = planner.plan(request(map, speeds(64), PlanProfile.ofLowCost(), true));
			assertThat(plan.reason()).isEqualTo(ExpertPlan.Reason.GOOD_ENOUGH);
			assertThat(plan.changesMap()).isFalse();
			assertThat(plan.map()).isEqualTo(map);
		}
	}

	@Test
	void registersPlannersAndProfiles() {
		PluginRegistry registry = PluginRegistry.ofClassPath();
		assertThat(registry.names(ExpertPlanner.class)).containsExactly("anew", "fitted", "greedy", "static");
		assertThat(registry.names(PlanProfile.class)).containsExactly("ash", "kitchen");
	}

}
