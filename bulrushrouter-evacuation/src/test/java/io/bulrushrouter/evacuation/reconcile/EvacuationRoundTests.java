package io.bulrushrouter.evacuation.reconcile;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.EnumMap;
import java.util.List;
import java.util.Map;
import java.util.stream.Stream;

import org.junit.jupiter.api.AfterAll;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.Arguments;
import org.junit.jupiter.params.provider.EnumSource;
import org.junit.jupiter.params.provider.MethodSource;

import io.bulrushrouter.standin.FleetStandin;

import static com.google.common.truth.Truth.assertThat;
import static com.google.common.truth.Truth.assertWithMessage;

/**
 * Tests for {@link EvacuationRound} that inject every kind of fault at every call of a
 * holder.
 */
class EvacuationRoundTests {

	private static final Map<Fault, Integer> CELLS_RUN = new EnumMap<>(Fault.class);

	// Covers the calls of the two rounds that the other holder runs.
	private static final int MAX_OTHER_CALLS = 16;

	@AfterAll
	static void printCells() {
		System.out.println("evacuation fault cells run: " + CELLS_RUN + ", in total "
				+ CELLS_RUN.values().stream().mapToInt(Integer::intValue).sum());
	}

	private static int callsWithoutFault(FaultCell.Kind kind) {
		FaultRun run = FaultRun.of(FaultCell.ofNoFault(kind));
		assertThat(run.runToEnd()).isEmpty();
		return run.calls();
	}

	private static void check(FaultCell cell) {
		CELLS_RUN.merge(cell.fault(), 1, Integer::sum);
		assertWithMessage("%s", cell).that(FaultRun.of(cell).runToEnd()).isEmpty();
	}

	static Stream<Arguments> faults() {
		return Stream.of(Fault.values())
			.filter((fault) -> fault != Fault.NONE && fault != Fault.PAUSED_AND_OTHER_KILLED)
			.flatMap((fault) -> Stream.of(FaultCell.Kind.values()).map((kind) -> Arguments.of(fault, kind)));
	}

	@ParameterizedTest
	@MethodSource("faults")
	void preservesInvariantsUnderAFaultAtEveryCall(Fault fault, FaultCell.Kind kind) {
		int calls = callsWithoutFault(kind);
		for (int call = 1; call <= calls; call++) {
			check(new FaultCell(fault, call, 0, kind));
		}
	}

	@ParameterizedTest
	@EnumSource(FaultCell.Kind.class)
	void preservesInvariantsWhileHoldersRace(FaultCell.Kind kind) {
		int calls = callsWithoutFault(kind);
		for (int call = 1; call <= calls; call++) {
			for (int other = 1; other <= MAX_OTHER_CALLS; other++) {
				check(new FaultCell(Fault.PAUSED_AND_OTHER_KILLED, call, other, kind));
			}
		}
	}

	private static FleetStandin.Counts worstCountsOfPausedHolder(FaultCell.Kind kind, boolean sidecars,
			boolean engines) {
		List<FleetStandin.Counts> all = new ArrayList<>();
		for (int call = 1; call <= callsWithoutFault(kind); call++) {
			FaultRun run = FaultRun.of(new FaultCell(Fault.PAUSED, call, 0, kind)).guards(sidecars, engines);
			run.runToEnd();
			all.add(run.counts());
		}
		return all.stream().max(Comparator.comparingLong(FleetStandin.Counts::staleAtEngine)).orElseThrow();
	}

	@Test
	void enginesThatCheckTokensRefuseWhatUnguardedSidecarsAccept() {
		assertThat(worstCountsOfPausedHolder(FaultCell.Kind.ENGINES_CHECK, false, true).staleAtEngine()).isEqualTo(0);
		assertThat(worstCountsOfPausedHolder(FaultCell.Kind.ENGINES_CHECK, false, false).staleAtEngine())
			.isGreaterThan(0L);
		assertThat(worstCountsOfPausedHolder(FaultCell.Kind.PLAIN, false, true).staleAtEngine()).isGreaterThan(0L);
	}

	@Test
	void makesFewCalls() {
		assertThat(callsWithoutFault(FaultCell.Kind.PLAIN)).isLessThan(200);
	}

	@ParameterizedTest
	@EnumSource
	void stopsOrderingAfterALostAnswerOrALostLease(Answer answer) {
		FaultRun run = FaultRun.of(FaultCell.ofNoFault(FaultCell.Kind.PLAIN));
		RoundResult result = run.runRoundAtStopTime(answer.result);
		assertThat(result.outcomes()).hasSize((answer == Answer.REFUSED) ? 3 : 1);
		assertThat(result.fenced()).isEqualTo(answer == Answer.FENCED);
	}

	/**
	 * The result of all orders.
	 */
	private enum Answer {

		REFUSED(new StepResult.Refused("busy")), LOST(new StepResult.Unknown("lost")), FENCED(new StepResult.Fenced());

		private final StepResult result;

		Answer(StepResult result) {
			this.result = result;
		}

	}

}
