package io.bulrushrouter.evacuation.sheet;

import java.util.List;
import java.util.function.UnaryOperator;
import java.util.stream.Stream;

import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.Arguments;
import org.junit.jupiter.params.provider.MethodSource;

import io.bulrushrouter.evacuation.EndState;
import io.bulrushrouter.evacuation.EvacuationPlan;
import io.bulrushrouter.evacuation.EvacuationState;
import io.bulrushrouter.evacuation.Target;
import io.bulrushrouter.evacuation.TestFleet;
import io.bulrushrouter.kernel.UpstreamId;

import static com.google.common.truth.Truth.assertThat;

/**
 * Tests for {@link SheetApplier}.
 */
class SheetApplierTests {

	private static final EvacuationState PLANNED = EvacuationState.of(TestFleet.plan(), TestFleet.change("plan"));

	private static SheetOutcome apply(EvacuationState state, String text, boolean acceptRisk) {
		SheetParseResult result = MorningSheet.parse(text.getBytes(), SheetFormat.of(DateOrder.ISO), TestFleet.FLEET);
		MorningSheet sheet = ((SheetParseResult.Parsed) result).sheet();
		return SheetApplier.of(TestFleet.FLEET)
			.apply(state, new SheetRequest(sheet, TestFleet.placements(), TestFleet.change("sheet"), acceptRisk));
	}

	private static EvacuationState applied(EvacuationState state, String text) {
		return ((SheetOutcome.Applied) apply(state, text, false)).state();
	}

	@Test
	void appliesEveryRowOfTheSheet() {
		EvacuationState state = applied(PLANNED, TestFleet.sheet());
		assertThat(state.intendedState(UpstreamId.of("rank-1-old"))).isEqualTo(EndState.GONE);
		assertThat(state.intent(UpstreamId.of("rank-1-old")).orElseThrow().stopAt().orElseThrow())
			.isEqualTo(TestFleet.DAY.atTime(14, 0));
		assertThat(state.placementsByOrganisation()).containsEntry(TestFleet.SECOND, TestFleet.NEW);
		assertThat(state.containsChange("sheet")).isTrue();
	}

	@Test
	void changesNothingWhenAppliedTwice() {
		EvacuationState state = applied(PLANNED, TestFleet.sheet());
		assertThat(apply(state, TestFleet.sheet(), false)).isEqualTo(new SheetOutcome.Unchanged());
		String respelled = TestFleet.sheet().replace("\"both ranks, together\"", "");
		assertThat(apply(state, respelled, true)).isEqualTo(new SheetOutcome.Unchanged());
	}

	@Test
	void refusesAnOlderDateEvenWithAcceptedRisk() {
		EvacuationState state = applied(PLANNED, TestFleet.sheet());
		String older = TestFleet.sheet().replace("2026-11-02", "2026-11-01");
		assertThat(apply(state, older, true))
			.isEqualTo(new SheetOutcome.StaleDate(TestFleet.DAY.minusDays(1), TestFleet.DAY));
	}

	static Stream<Arguments> contradictions() {
		EvacuationPlan plan = TestFleet.plan();
		EvacuationPlan bookingStays = EvacuationPlan.builder("hall", TestFleet.DAY)
			.departure(Target.of("group/g-old"), TestFleet.DAY)
			.build();
		return Stream.of(contradiction(bookingStays, (text) -> text, Contradiction.Kind.NOT_IN_PLAN, 5),
				contradiction(plan,
						(text) -> text.replace("2026-11-02,upstream,booking-old,gone,,,\n", "")
							.replace("end,4", "end,3"),
						Contradiction.Kind.LATER_THAN_PLAN, 0),
				contradiction(plan, (text) -> text.replace("booking-old,gone", "booking-old,leaving"),
						Contradiction.Kind.LATER_THAN_PLAN, 5),
				contradiction(plan, (text) -> text.replace("14:00", "13:00"), Contradiction.Kind.OTHER_STOP_HOUR, 4),
				contradiction(plan, (text) -> text.replace("2026-11-02,organisation,zeta,moved,,new,\n", "")
					.replace("end,4", "end,3"), Contradiction.Kind.ORGANISATION_ORDER, 2));
	}

	private static Arguments contradiction(EvacuationPlan plan, UnaryOperator<String> change, Contradiction.Kind kind,
			int line) {
		return Arguments.of(plan, change.apply(TestFleet.sheet()), kind, line);
	}

	@ParameterizedTest
	@MethodSource("contradictions")
	void refusesAContradictionUnlessItsRiskIsAccepted(EvacuationPlan plan, String text, Contradiction.Kind kind,
			int line) {
		EvacuationState state = EvacuationState.of(plan, TestFleet.change("plan"));
		List<Contradiction> found = ((SheetOutcome.Contradicted) apply(state, text, false)).contradictions();
		assertThat(found).hasSize(1);
		assertThat(found.get(0).kind()).isEqualTo(kind);
		assertThat(found.get(0).line()).isEqualTo(line);
		SheetOutcome.Applied accepted = (SheetOutcome.Applied) apply(state, text, true);
		assertThat(accepted.risks()).contains(found.get(0).toString());
		assertThat(accepted.state().risks()).isEqualTo(accepted.risks());
	}

	@Test
	void refusesTooLittleCapacityUnlessItsRiskIsAccepted() {
		String text = TestFleet.sheet().replace("zeta,moved,,new", "zeta,moved,,old");
		SheetOutcome.InsufficientCapacity refused = (SheetOutcome.InsufficientCapacity) apply(PLANNED, text, false);
		assertThat(refused.shortages()).hasSize(2);
		assertThat(refused.shortages().get(0).left()).isEqualTo(0);
		SheetOutcome.Applied accepted = (SheetOutcome.Applied) apply(PLANNED, text, true);
		assertThat(accepted.state().acceptedShortages()).isEqualTo(refused.shortages());
	}

	@Test
	void refusesToReverseADepartureOrChangeACancelledPlan() {
		EvacuationState state = applied(PLANNED, TestFleet.sheet());
		String back = TestFleet.sheet().replace("booking-old,gone", "booking-old,running");
		assertThat(apply(state, back, true)).isInstanceOf(SheetOutcome.Contradicted.class);
		EvacuationState cancelled = state.withPlan(state.plan().toBuilder().cancelled(true).build(),
				TestFleet.change("cancel"));
		String later = TestFleet.sheet().replace("14:00", "15:00");
		assertThat(apply(cancelled, later, true)).isInstanceOf(SheetOutcome.Contradicted.class);
	}

}
