package io.bulrushrouter.evacuation;

import java.util.List;
import java.util.function.IntConsumer;

import org.junit.jupiter.api.AfterAll;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.EnumSource;

import io.bulrushrouter.evacuation.sheet.DateOrder;
import io.bulrushrouter.evacuation.sheet.MorningSheet;
import io.bulrushrouter.evacuation.sheet.SheetApplication;
import io.bulrushrouter.evacuation.sheet.SheetFormat;
import io.bulrushrouter.evacuation.sheet.SheetOrder;
import io.bulrushrouter.evacuation.sheet.SheetOutcome;
import io.bulrushrouter.evacuation.sheet.SheetResult;
import io.bulrushrouter.kernel.store.ObjectStore;
import io.bulrushrouter.standin.MemoryObjectStore;

import static com.google.common.truth.Truth.assertThat;

/**
 * Tests for {@link EvacuationStore}: operators racing, with faults at every call.
 */
class EvacuationStoreTests {

	private static final int MAX_CALLS = 6;

	private static int cells;

	private final MemoryObjectStore objects = new MemoryObjectStore();

	@AfterAll
	static void printCells() {
		System.out.println("evacuation operator cells run: " + cells);
	}

	private static MorningSheet sheet(String hour) {
		byte[] bytes = TestFleet.sheet().replace("booking-old,gone,", "booking-old,gone," + hour).getBytes();
		SheetResult result = MorningSheet.parse(bytes, SheetFormat.of(DateOrder.ISO), TestFleet.FLEET);
		return ((SheetResult.Parsed) result).sheet();
	}

	private static Stored<EvacuationState> read(ObjectStore objects) {
		Loaded<EvacuationState> loaded = EvacuationStore.of(objects, "hall").read().toCompletableFuture().join();
		return (loaded instanceof Loaded.Found<EvacuationState> found) ? found.stored() : null;
	}

	private static StoreOutcome<EvacuationState> apply(ObjectStore objects, MorningSheet sheet, String mark) {
		Stored<EvacuationState> read = read(objects);
		if (read == null) {
			return new StoreOutcome.Unavailable<>("not read");
		}
		SheetOutcome outcome = SheetApplication.of(TestFleet.FLEET)
			.apply(read.value(), new SheetOrder(sheet, TestFleet.placements(), TestFleet.change(mark), false));
		if (!(outcome instanceof SheetOutcome.Applied applied)) {
			return new StoreOutcome.Written<>(read);
		}
		return EvacuationStore.of(objects, "hall").write(read, applied.state(), mark).toCompletableFuture().join();
	}

	private void create() {
		EvacuationState state = EvacuationState.of(TestFleet.plan(), TestFleet.change("plan"));
		EvacuationStore.of(this.objects, "hall").create(state).toCompletableFuture().join();
	}

	@Test
	void namesWhoChangedItWhenTheSeenVersionIsOld() {
		create();
		Stored<EvacuationState> now = read(this.objects);
		EvacuationPlan wanted = TestFleet.plan().toBuilder().date(TestFleet.DAY.plusDays(1)).build();
		StoreOutcome<EvacuationState> outcome = EvacuationStore.of(this.objects, "hall")
			.write(new Stored<>(0, now.value()), now.value().withPlan(wanted, TestFleet.change("mine")), "mine")
			.toCompletableFuture()
			.join();
		assertThat(((StoreOutcome.Conflict<EvacuationState>) outcome).difference()).containsExactly(
				"plan date: 2026-11-03 became 2026-11-02",
				"last changed by operator-plan at 1970-01-01T00:00:00Z: change plan");
	}

	@ParameterizedTest
	@EnumSource(Loss.class)
	void oneOperatorWinsWhateverIsLost(Loss loss) {
		for (int lost = 1; lost <= MAX_CALLS; lost++) {
			for (int other = 0; other <= MAX_CALLS; other++) {
				new EvacuationStoreTests().race(loss, lost, other);
				cells++;
			}
		}
	}

	private void race(Loss loss, int lost, int other) {
		create();
		IntConsumer rival = (call) -> {
			if (call == other) {
				apply(this.objects, sheet("15:00"), "rival");
			}
			this.objects.down(loss == Loss.STORE_DOWN && call == lost);
		};
		HookedStore hooked = new HookedStore(this.objects, rival, (loss == Loss.REQUEST) ? lost : 0,
				(loss == Loss.ANSWER) ? lost : 0);
		StoreOutcome<EvacuationState> outcome = apply(hooked, sheet("16:00"), "mine");
		this.objects.down(false);
		check(outcome, hooked.calls() >= other && other > 0);
	}

	private void check(StoreOutcome<EvacuationState> outcome, boolean rivalRan) {
		EvacuationState state = read(this.objects).value();
		if (outcome instanceof StoreOutcome.Written) {
			assertThat(state.holds("mine")).isTrue();
		}
		if (outcome instanceof StoreOutcome.Unavailable) {
			assertThat(state.holds("mine")).isFalse();
		}
		if (outcome instanceof StoreOutcome.Conflict<EvacuationState> conflict) {
			assertThat(state.holds("mine")).isFalse();
			assertThat(String.join("\n", conflict.difference())).contains("booking-old: unset became gone at");
			assertThat(String.join("\n", conflict.difference())).contains("changed by operator-rival");
		}
		if (rivalRan) {
			assertThat(state.holds("rival")).isTrue();
		}
		checkWhole(state);
		checkAgain(state);
	}

	// Each state is that of one whole sheet, and no change was made twice.
	private static void checkWhole(EvacuationState state) {
		List<String> marks = state.history().stream().map(Change::mark).toList();
		assertThat(marks).containsNoDuplicates();
		String last = marks.get(marks.size() - 1);
		if (!last.equals("plan")) {
			String digest = sheet(last.equals("mine") ? "16:00" : "15:00").digest();
			assertThat(state.sheetDigest()).isEqualTo(digest);
			assertThat(state.intents()).hasSize(3);
		}
	}

	private void checkAgain(EvacuationState before) {
		String last = before.history().get(before.history().size() - 1).mark();
		if (last.equals("mine")) {
			apply(this.objects, sheet("16:00"), "again");
			assertThat(read(this.objects).value()).isEqualTo(before);
		}
	}

	/**
	 * What is lost.
	 */
	private enum Loss {

		NOTHING, REQUEST, ANSWER, STORE_DOWN

	}

}
