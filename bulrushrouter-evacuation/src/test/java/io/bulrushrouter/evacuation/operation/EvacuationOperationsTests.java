package io.bulrushrouter.evacuation.operation;

import java.util.Optional;

import org.junit.jupiter.api.Test;

import io.bulrushrouter.evacuation.EvacuationPlan;
import io.bulrushrouter.evacuation.TestFleet;
import io.bulrushrouter.evacuation.sheet.DateOrder;
import io.bulrushrouter.evacuation.sheet.SheetFormat;
import io.bulrushrouter.kernel.ErrorCode;
import io.bulrushrouter.standin.MemoryObjectStore;

import static com.google.common.truth.Truth.assertThat;

/**
 * Tests for {@link EvacuationOperations}.
 */
class EvacuationOperationsTests {

	private static final SheetFormat FORMAT = SheetFormat.of(DateOrder.ISO);

	private final MemoryObjectStore objects = new MemoryObjectStore();

	private final EvacuationOperations operations = EvacuationOperations.of(TestFleet.FLEET, this.objects, "hall");

	private OperationOutcome create(String writeId) {
		return this.operations.create(TestFleet.plan(), TestFleet.placements(), TestFleet.change(writeId))
			.toCompletableFuture()
			.join();
	}

	private OperationOutcome apply(String text, String writeId) {
		return this.operations.applySheet(text.getBytes(), FORMAT, TestFleet.change(writeId), false)
			.toCompletableFuture()
			.join();
	}

	private OperationOutcome check(String text) {
		return this.operations.checkSheet(text.getBytes(), FORMAT, TestFleet.change("check"))
			.toCompletableFuture()
			.join();
	}

	private OperationOutcome.Done show() {
		return (OperationOutcome.Done) this.operations.show().toCompletableFuture().join();
	}

	private static Optional<ErrorCode> code(ErrorCode code) {
		return Optional.of(code);
	}

	@Test
	void createsAPlanOnce() {
		assertThat(this.operations.show().toCompletableFuture().join().code()).isEqualTo(code(ErrorCode.NOT_FOUND));
		assertThat(create("first").code()).isEqualTo(Optional.empty());
		OperationOutcome second = create("second");
		assertThat(second.code()).isEqualTo(code(ErrorCode.CONFLICT));
		assertThat(second.text()).contains("changed by operator-first");
		EvacuationPlan empty = EvacuationPlan.builder("hall", TestFleet.DAY).build();
		assertThat(this.operations.create(empty, TestFleet.placements(), TestFleet.change("third"))
			.toCompletableFuture()
			.join()
			.text()).isEqualTo("departures: is empty");
	}

	@Test
	void replacesThePlanOnlyAtTheExpectedVersion() {
		create("first");
		long readVersion = show().state().version();
		EvacuationPlan later = TestFleet.plan().toBuilder().date(TestFleet.DAY.plusDays(1)).build();
		OperationOutcome done = this.operations.replace(readVersion, later, TestFleet.change("later"))
			.toCompletableFuture()
			.join();
		assertThat(done.code()).isEqualTo(Optional.empty());
		OperationOutcome conflict = this.operations.replace(readVersion, TestFleet.plan(), TestFleet.change("lost"))
			.toCompletableFuture()
			.join();
		assertThat(conflict.code()).isEqualTo(code(ErrorCode.CONFLICT));
		assertThat(conflict.text()).contains("plan date: 2026-11-02 became 2026-11-03");
		assertThat(conflict.text()).contains("changed by operator-later");
	}

	@Test
	void checksWithoutChangingAndAppliesOnce() {
		create("first");
		long version = show().state().version();
		assertThat(check(TestFleet.sheet()).text()).isEqualTo("the sheet can be applied");
		assertThat(check(TestFleet.sheet().replace("end,4", "end,5")).code()).isEqualTo(code(ErrorCode.BAD_SHEET));
		assertThat(show().state().version()).isEqualTo(version);
		assertThat(apply(TestFleet.sheet(), "a").text()).isEqualTo("applied");
		long applied = show().state().version();
		assertThat(apply(TestFleet.sheet(), "b").text()).startsWith("unchanged");
		assertThat(show().state().version()).isEqualTo(applied);
		assertThat(apply(TestFleet.sheet().replace("-02,", "-01,"), "c").code()).isEqualTo(code(ErrorCode.STALE_SHEET));
		assertThat(apply(TestFleet.sheet().replace("booking-old,gone", "booking-old,leaving"), "d").code())
			.isEqualTo(code(ErrorCode.PLAN_CONTRADICTED));
	}

	@Test
	void cancelsOnceAndRefusesSheetsAfterwards() {
		create("first");
		assertThat(this.operations.cancel(TestFleet.change("a")).toCompletableFuture().join().text())
			.isEqualTo("cancelled");
		assertThat(this.operations.cancel(TestFleet.change("b")).toCompletableFuture().join().text())
			.isEqualTo("already cancelled");
		assertThat(apply(TestFleet.sheet(), "c").code()).isEqualTo(code(ErrorCode.PLAN_CONTRADICTED));
	}

	@Test
	void reportsWhetherTheChangeMayHaveTakenEffectWhenTheStoreIsDown() {
		create("first");
		this.objects.loseAnswers((write) -> {
			this.objects.down(true);
			return true;
		});
		assertThat(apply(TestFleet.sheet(), "a").text()).startsWith("may have taken effect");
		assertThat(apply(TestFleet.sheet(), "b").text()).startsWith("nothing was changed");
		this.objects.down(false);
		assertThat(apply(TestFleet.sheet(), "c").text()).startsWith("unchanged");
	}

}
