package io.bulrushrouter.bench.experts;

import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

import io.bulrushrouter.experts.GroupShape;
import io.bulrushrouter.experts.planning.ExpertPlanner;
import io.bulrushrouter.experts.planning.ExpertPlanners;
import io.bulrushrouter.experts.planning.PlanProfile;

import static com.google.common.truth.Truth.assertThat;

class PlannerRunTests {

	private static final int LAYERS = 4;

	private static PlannerRun run(int ranks, int slots, ExpertPlanner planner, PlanProfile profile) {
		return new PlannerRun(GroupShape.of(LAYERS, 256, ranks, slots), planner, profile, 1).run();
	}

	@ParameterizedTest
	@CsvSource({ "8,34", "64,5" })
	void lowSkewProfileMeetsItsTargets(int ranks, int slots) {
		PlannerRun run = run(ranks, slots, ExpertPlanners.ofFitted(), PlanProfile.ofLowSkew());
		PlannerRun fromScratch = run(ranks, slots, ExpertPlanners.ofRebuild(), PlanProfile.ofLowSkew());
		assertThat(run.skew(0.5)).isAtMost(1.05);
		assertThat(run.skew(0.99)).isAtMost(1.15);
		assertThat(run.bytes()).isAtMost(fromScratch.bytes() / 5);
	}

	@ParameterizedTest
	@CsvSource({ "8,34", "64,5" })
	void lowCostProfileMeetsItsTargets(int ranks, int slots) {
		PlannerRun run = run(ranks, slots, ExpertPlanners.ofFitted(), PlanProfile.ofLowCost());
		PlannerRun fromScratch = run(ranks, slots, ExpertPlanners.ofRebuild(), PlanProfile.ofLowCost());
		assertThat(run.skew(0.5)).isAtMost(1.25);
		assertThat(run.bytes()).isAtMost(fromScratch.bytes() / 20);
		assertThat(run.unattendedNonEmergencyBytes()).isEqualTo(0);
	}

}
