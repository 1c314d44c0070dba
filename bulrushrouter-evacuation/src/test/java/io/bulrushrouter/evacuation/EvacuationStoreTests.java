package io.bulrushrouter.evacuation;

import java.util.List;
import java.util.function.IntConsumer;

import org.junit.jupiter.api.AfterAll;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.EnumSource;

import io.bulrushrouter.evacuation.sheet.DateOrder;
import io.bulrushrouter.evacuation.sheet.MorningSheet;
import io.bulrushrouter.evacuation.sheet.SheetApplier;
import io.bulrushrouter.evacuation.sheet.SheetFormat;
import io.bulrushrouter.evacuation.sheet.SheetOutcome;
import io.bulrushrouter.evacuation.sheet.SheetParseResult;
import io.bulrushrouter.evacuation.sheet.SheetRequest;
import io.bulrushrouter.kernel.store.ObjectStore;
import io.bulrushrouter.standin.MemoryObjectStore;

import static com.google.common.truth.Truth.assertThat;

/**
 * Tests for {@link EvacuationStore}. Two operators race for one plan, while each store
 * call in turn loses its request or its response or finds the store down.
 */
class EvacuationStoreTests {

	private static final int MAX_CALLS = 6;

	private static int casesRun;

	private final MemoryObjectStore objects = new MemoryObjectStore();

	@AfterAll
	static void printCasesRun() {
		System.out.println("evacuation operator cells run: " + casesRun);
	}

	private static MorningSheet sheet(String hour) {
		byte[] bytes = TestFleet.sheet().replace("booking-old,gone,", "booking-old,gone," + hour).getBytes();
		SheetParseResult result = MorningSheet.parse(bytes, SheetFormat.of(DateOrder.ISO), TestFleet.FLEET);
		return ((SheetParseResult.Parsed) result).sheet();
	}

	private static VersionedValue<EvacuationState> read(ObjectStore objects) {
		ReadOutcome<EvacuationState> loaded = EvacuationStore.of(objects, "hall").read().toCompletableFuture().join();
		return (loaded instanceof ReadOutcome.Found<EvacuationState> found) ? found.object() : null;
	}

	private static WriteOutcome<EvacuationState> apply(ObjectStore objects, MorningSheet sheet, String writeId) {
		VersionedValue<EvacuationState> read = read(objects);
		if (read == null) {
			return new WriteOutcome.Unavailable<>("not read");
		}
		SheetOutcome outcome = SheetApplier.of(TestFleet.FLEET)
			.apply(read.value(), new SheetRequest(sheet, TestFleet.placements(), TestFleet.change(writeId), false));
		if (!(outcome instanceof SheetOutcome.Applied applied)) {
			return new WriteOutcome.Written<>(read);
		}
		return EvacuationStore.of(objects, "hall").write(read, applied.state(), writeId).toCompletableFuture().join();
	}

	private void create() {
		EvacuationState state = EvacuationState.of(TestFleet.plan(), TestFleet.change("plan"));
		EvacuationStore.of(this.objects, "hall").create(state).toCompletableFuture().join();
	}

	@Test
	void reportsWhoChangedThePlanWhenTheVersionIsStale() {
		create();
		VersionedValue<EvacuationState> now = read(this.objects);
		EvacuationPlan proposed = TestFleet.plan().toBuilder().date(TestFleet.DAY.plusDays(1)).build();
		WriteOutcome<EvacuationState> outcome = EvacuationStore.of(this.objects, "hall")
			.write(new VersionedValue<>(0, now.value()), now.value().withPlan(proposed, TestFleet.change("mine")),
					"mine")
			.toCompletableFuture()
			.join();
		assertThat(((WriteOutcome.Conflict<EvacuationState>) outcome).difference()).containsExactly(
				"plan date: 2026-11-03 became 2026-11-02",
				"last changed by operator-plan at 1970-01-01T00:00:00Z: change plan");
	}

	@ParameterizedTest
	@EnumSource(InjectedFault.class)
	void oneOperatorWinsWhicheverCallFails(InjectedFault fault) {
		for (int faultyCall = 1; faultyCall <= MAX_CALLS; faultyCall++) {
			for (int rivalCall = 0; rivalCall <= MAX_CALLS; rivalCall++) {
				new EvacuationStoreTests().race(fault, faultyCall, rivalCall);
				casesRun++;
			}
		}
	}

	private void race(InjectedFault fault, int faultyCall, int rivalCall) {
		create();
		IntConsumer rival = (call) -> {
			if (call == rivalCall) {
				apply(this.objects, sheet("15:00"), "rival");
			}
			this.objects.down(fault == InjectedFault.STORE_DOWN && call == faultyCall);
		};
		FaultInjectingStore faulty = new FaultInjectingStore(this.objects, rival,
				(fault == InjectedFault.REQUEST_LOST) ? faultyCall : 0,
				(fault == InjectedFault.RESPONSE_LOST) ? faultyCall : 0);
		WriteOutcome<EvacuationState> outcome = apply(faulty, sheet("16:00"), "mine");
		this.objects.down(false);
		assertConsistent(outcome, faulty.calls() >= rivalCall && rivalCall > 0);
	}

	private void assertConsistent(WriteOutcome<EvacuationState> outcome, boolean rivalRan) {
		EvacuationState state = read(this.objects).value();
		if (outcome instanceof WriteOutcome.Written) {
			assertThat(state.containsChange("mine")).isTrue();
		}
		if (outcome instanceof WriteOutcome.Unavailable) {
			assertThat(state.containsChange("mine")).isFalse();
		}
		if (outcome instanceof WriteOutcome.Conflict<EvacuationState> conflict) {
			assertThat(state.containsChange("mine")).isFalse();
			assertThat(String.join("\n", conflict.difference())).contains("booking-old: unset became gone at");
			assertThat(String.join("\n", conflict.difference())).contains("changed by operator-rival");
		}
		if (rivalRan) {
			assertThat(state.containsChange("rival")).isTrue();
		}
		assertOneWholeSheetApplied(state);
		assertReapplyingChangesNothing(state);
	}

	// The state must result from one whole sheet, and no change may be applied twice.
	private static void assertOneWholeSheetApplied(EvacuationState state) {
		List<String> marks = state.history().stream().map(Change::mark).toList();
		assertThat(marks).containsNoDuplicates();
		String last = marks.get(marks.size() - 1);
		if (!last.equals("plan")) {
			String digest = sheet(last.equals("mine") ? "16:00" : "15:00").digest();
			assertThat(state.sheetDigest()).isEqualTo(digest);
			assertThat(state.intents()).hasSize(3);
		}
	}

	private void assertReapplyingChangesNothing(EvacuationState before) {
		String last = before.history().get(before.history().size() - 1).mark();
		if (last.equals("mine")) {
			apply(this.objects, sheet("16:00"), "again");
			assertThat(read(this.objects).value()).isEqualTo(before);
		}
	}

	/**
	 * The fault that is injected at one call.
	 */
	private enum InjectedFault {

		NONE, REQUEST_LOST, RESPONSE_LOST, STORE_DOWN

	}

}
