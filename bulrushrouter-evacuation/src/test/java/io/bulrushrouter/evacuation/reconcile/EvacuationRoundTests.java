package io.bulrushrouter.evacuation.reconcile;

import java.util.EnumMap;
import java.util.Map;
import java.util.stream.Stream;

import org.junit.jupiter.api.AfterAll;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.Arguments;
import org.junit.jupiter.params.provider.MethodSource;
import org.junit.jupiter.params.provider.ValueSource;

import static com.google.common.truth.Truth.assertThat;
import static com.google.common.truth.Truth.assertWithMessage;

/**
 * Tests for {@link EvacuationRound}: every fault at every call.
 */
class EvacuationRoundTests {

	private static final Map<Fault, Integer> CELLS = new EnumMap<>(Fault.class);

	// As many calls as two rounds make.
	private static final int OTHER_CALLS = 16;

	@AfterAll
	static void printCells() {
		System.out.println("evacuation fault cells run: " + CELLS + ", in all "
				+ CELLS.values().stream().mapToInt(Integer::intValue).sum());
	}

	private static int callsWithoutFault(boolean enginesCheck) {
		FaultRun run = FaultRun.of(FaultCell.ofNone(enginesCheck));
		assertThat(run.violations()).isEmpty();
		return run.calls();
	}

	private static void check(FaultCell cell) {
		CELLS.merge(cell.fault(), 1, Integer::sum);
		assertWithMessage("%s", cell).that(FaultRun.of(cell).violations()).isEmpty();
	}

	static Stream<Arguments> faults() {
		return Stream.of(Fault.STORE_DOWN, Fault.REQUEST_LOST, Fault.ANSWER_LOST, Fault.KILLED, Fault.PAUSED)
			.flatMap((fault) -> Stream.of(Arguments.of(fault, true), Arguments.of(fault, false)));
	}

	@ParameterizedTest
	@MethodSource("faults")
	void keepsItsPromisesUnderAFaultAtEveryCall(Fault fault, boolean enginesCheck) {
		int calls = callsWithoutFault(enginesCheck);
		for (int call = 1; call <= calls; call++) {
			check(new FaultCell(fault, call, 0, enginesCheck));
		}
	}

	@ParameterizedTest
	@ValueSource(booleans = { true, false })
	void keepsItsPromisesWhileHoldersRace(boolean enginesCheck) {
		int calls = callsWithoutFault(enginesCheck);
		for (int call = 1; call <= calls; call++) {
			for (int other = 1; other <= OTHER_CALLS; other++) {
				check(new FaultCell(Fault.PAUSED_AND_OTHER_KILLED, call, other, enginesCheck));
			}
		}
	}

	@ParameterizedTest
	@ValueSource(booleans = { true, false })
	void seesOldFencingNumbersObeyedWithoutTheGuard(boolean enginesCheck) {
		int calls = callsWithoutFault(enginesCheck);
		long stale = 0;
		for (int call = 1; call <= calls; call++) {
			FaultRun run = FaultRun.of(new FaultCell(Fault.PAUSED, call, 0, enginesCheck)).unguarded();
			run.violations();
			stale += run.counts().stale();
		}
		assertThat(stale).isGreaterThan(0L);
	}

	@Test
	void makesFewCalls() {
		assertThat(callsWithoutFault(false)).isLessThan(200);
	}

}
