package io.bulrushrouter.evacuation;

import java.time.LocalDate;
import java.util.List;

import org.junit.jupiter.api.Test;

import io.bulrushrouter.kernel.OrganisationId;

import static com.google.common.truth.Truth.assertThat;

/**
 * Tests for {@link EvacuationPlan}.
 */
class EvacuationPlanTests {

	private static final LocalDate DAY = TestFleet.DAY;

	@Test
	void acceptsAValidPlan() {
		assertThat(TestFleet.plan().validate(TestFleet.FLEET)).isEmpty();
	}

	@Test
	void reportsEveryError() {
		EvacuationPlan plan = EvacuationPlan.builder("hall", DAY)
			.departure(Target.of("upstream/nowhere"), DAY)
			.departure(Target.of("upstream/rank-0-old"), DAY)
			.departure(Target.of("group/g-old"), DAY.plusDays(1))
			.organisation(OrganisationId.of("omega"))
			.organisation(TestFleet.FIRST)
			.organisation(TestFleet.FIRST)
			.stop(Target.of("upstream/booking-old"), DAY.atTime(9, 0))
			.stop(Target.of("group/g-old"), DAY.plusDays(2).atTime(9, 0))
			.stop(Target.of("group/g-old"), DAY.atTime(9, 0))
			.build();
		List<String> paths = plan.validate(TestFleet.FLEET).stream().map(PlanError::path).toList();
		assertThat(paths)
			.containsExactly("departures[0].target", "departures[1].target", "departures[2].by", "departures[2].target",
					"organisations[0]", "organisations[2]", "stops[0].target", "stops[1].at", "stops[2].target")
			.inOrder();
	}

	@Test
	void roundTripsThroughJson() {
		EvacuationState state = EvacuationState.of(TestFleet.plan(), TestFleet.change("a"))
			.withPlan(TestFleet.plan().toBuilder().cancelled(true).build(), TestFleet.change("b"));
		byte[] json = EvacuationJson.write(state);
		assertThat(EvacuationJson.read(json, EvacuationState.class)).isEqualTo(state);
		assertThat(new String(json)).contains("\"date\":\"2026-11-02\"");
		assertThat(new String(json)).contains("\"target\":\"group/g-old\"");
	}

}
