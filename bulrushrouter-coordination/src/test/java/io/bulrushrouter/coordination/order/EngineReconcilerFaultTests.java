package io.bulrushrouter.coordination.order;

import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.Optional;
import java.util.TreeSet;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.stream.Collectors;
import java.util.stream.IntStream;
import java.util.stream.Stream;

import org.junit.jupiter.api.AfterAll;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.MethodSource;

import io.bulrushrouter.coordination.Fault;
import io.bulrushrouter.coordination.FaultyStore;
import io.bulrushrouter.coordination.ManualClock;
import io.bulrushrouter.coordination.lease.FencingToken;
import io.bulrushrouter.kernel.ModelId;
import io.bulrushrouter.kernel.store.ObjectKey;
import io.bulrushrouter.kernel.store.ReadResult;
import io.bulrushrouter.kernel.store.Write;
import io.bulrushrouter.kernel.store.WriteId;
import io.bulrushrouter.standin.MemoryObjectStore;

import static com.google.common.truth.Truth.assertThat;

/**
 * Applies orders to engines with and without fence checking, with each fault injected at
 * each of the sidecar's first calls and a paused holder whose orders arrive late.
 */
class EngineReconcilerFaultTests {

	private static final ObjectKey LEASE = ObjectKey.of("lease", "orders");

	private static final Duration TICK = Duration.ofMillis(250);

	private static final int TICKS = 800;

	private static final int RECOVERY_INTERVAL_TICKS = 100;

	private static final EngineState OLD = state(EngineRole.GENERAL, "a", "b");

	private static final EngineState NEW = state(EngineRole.PREFILL, "b", "c");

	private static final AtomicInteger cells = new AtomicInteger();

	private final ManualClock clock = new ManualClock();

	private final MemoryObjectStore memory = new MemoryObjectStore();

	@AfterAll
	static void printCells() {
		System.out.println("order fault cells run: " + cells.get());
	}

	private static EngineState state(EngineRole role, String... models) {
		return new EngineState(Stream.of(models).map(ModelId::of).collect(Collectors.toCollection(TreeSet::new)), role);
	}

	private void writeToken(int number) {
		ReadResult before = this.memory.read(LEASE).toCompletableFuture().join();
		long version = (before instanceof ReadResult.Found found) ? found.object().version() : Write.ABSENT;
		byte[] value = (number + " held h" + number).getBytes(StandardCharsets.UTF_8);
		this.memory.write(new Write(LEASE, version, value, new WriteId("h" + number)));
	}

	static Stream<Cell> cells() {
		return Stream.of(FenceChecking.values())
			.flatMap((checking) -> Stream.of(Fault.values())
				.flatMap((fault) -> IntStream.rangeClosed(1, 12)
					.boxed()
					.flatMap((step) -> Stream.of(0, 4, 7, 10, 40, 200)
						.map((takeOverTick) -> new Cell(checking, fault, step, takeOverTick)))));
	}

	@ParameterizedTest
	@MethodSource("cells")
	void ignoresStaleHoldersAndAppliesTheOrder(Cell cell) {
		cells.incrementAndGet();
		FakeEngine engine = new FakeEngine(cell.checking(), cell.fault(), cell.step());
		FaultyStore store = new FaultyStore(this.memory, cell.fault(), cell.step() / 4 + 1);
		writeToken(1);
		EngineReconcilerDriver sidecar = sidecar(cell.checking(), engine, store);
		EngineOrder older = new EngineOrder(new FencingToken(1), OLD);
		EngineOrder newer = new EngineOrder(new FencingToken(2), NEW);
		for (int tick = 0; tick < TICKS; tick++) {
			if (tick == cell.takeOverTick()) {
				this.memory.down(false);
				writeToken(2);
			}
			// The old holder resumes after a pause and repeats its stale order, before
			// and after the first order of the new holder.
			if (tick < cell.takeOverTick() || tick % 7 == 0) {
				sidecar.accept(older);
			}
			if (tick > cell.takeOverTick() + 30) {
				sidecar.accept(newer);
			}
			sidecar.tick();
			if (engine.pollSidecarKilled() || store.isKilled()) {
				store = new FaultyStore(this.memory, Fault.NONE, 0);
				sidecar = sidecar(cell.checking(), engine, store);
			}
			if (tick % RECOVERY_INTERVAL_TICKS == RECOVERY_INTERVAL_TICKS - 1) {
				this.memory.down(false);
				store.resume();
				engine.deliverDelayedCommand();
			}
			if (tick == TICKS / 2) {
				engine.restart();
			}
			this.clock.advance(TICK);
		}
		assertThat(engine.executedTokens()).isInOrder();
		assertThat(engine.state()).isEqualTo(NEW);
		assertThat(sidecar.accept(newer)).isEqualTo(EngineReconciler.OrderStatus.APPLIED);
		assertThat(sidecar.accept(older)).isEqualTo(EngineReconciler.OrderStatus.STALE);
		if (cell.takeOverTick() == 0) {
			assertThat(engine.executedTokens()).doesNotContain(1L);
		}
	}

	private EngineReconcilerDriver sidecar(FenceChecking checking, FakeEngine engine, FaultyStore store) {
		EngineReconciler reconciler = EngineReconciler.of(checking, OrderTimings.DEFAULT, this.clock.nanos());
		return EngineReconcilerDriver.of(reconciler, engine, store, LEASE, this.clock, Runnable::run);
	}

	@ParameterizedTest
	@CsvSource({ "checks, CHECKS", "' Checks ', CHECKS", "does-not, DOES_NOT_CHECK", "'', DOES_NOT_CHECK",
			"unknown, DOES_NOT_CHECK", "yes, DOES_NOT_CHECK" })
	void unknownSettingsMeanNoFenceChecking(String setting, FenceChecking meaning) {
		assertThat(FenceChecking.of(setting)).isEqualTo(meaning);
	}

	@ParameterizedTest
	@CsvSource({ "CHECKS", "DOES_NOT_CHECK" })
	void keepsAnOrderPendingUntilALaterTokenRead(FenceChecking checking) {
		EngineReconciler reconciler = EngineReconciler.of(checking, OrderTimings.DEFAULT, this.clock.nanos());
		EngineOrder first = new EngineOrder(new FencingToken(1), OLD);
		EngineOrder second = new EngineOrder(new FencingToken(1), NEW);
		assertThat(reconciler.next(this.clock.nanos())).isInstanceOf(OrderAction.Idle.class);
		assertThat(reconciler.accept(first)).isEqualTo(EngineReconciler.OrderStatus.PENDING);
		assertThat(reconciler.next(this.clock.nanos())).isInstanceOf(OrderAction.ReadFencingToken.class);
		assertThat(reconciler.accept(second)).isEqualTo(EngineReconciler.OrderStatus.PENDING);
		assertThat(reconciler.tokenReadAnswered(Optional.of(new FencingToken(1)), this.clock.nanos()).isPresent())
			.isFalse();
		assertThat(reconciler.next(this.clock.nanos())).isInstanceOf(OrderAction.ReadFencingToken.class);
		assertThat(reconciler.tokenReadAnswered(Optional.empty(), this.clock.nanos()).orElseThrow())
			.isEqualTo(EngineReconciler.OrderStatus.PENDING);
		assertThat(reconciler.next(this.clock.nanos())).isInstanceOf(OrderAction.Idle.class);
		this.clock.advance(OrderTimings.DEFAULT.retryDelay());
		assertThat(reconciler.next(this.clock.nanos())).isInstanceOf(OrderAction.ReadFencingToken.class);
		assertThat(reconciler.tokenReadAnswered(Optional.of(new FencingToken(2)), this.clock.nanos()).orElseThrow())
			.isEqualTo(EngineReconciler.OrderStatus.STALE);
		this.clock.advance(Duration.ofMinutes(1));
		assertThat(reconciler.next(this.clock.nanos())).isInstanceOf(OrderAction.Idle.class);
	}

	@Test
	void staleCommandCancelsTheOrder() {
		EngineReconciler reconciler = EngineReconciler.of(FenceChecking.CHECKS, OrderTimings.DEFAULT,
				this.clock.nanos());
		EngineOrder order = new EngineOrder(new FencingToken(1), OLD);
		reconciler.accept(order);
		reconciler.next(this.clock.nanos());
		reconciler.tokenReadAnswered(Optional.of(new FencingToken(1)), this.clock.nanos());
		reconciler.next(this.clock.nanos());
		reconciler.observed(Optional.of(FakeEngine.EMPTY), this.clock.nanos());
		assertThat(reconciler.next(this.clock.nanos())).isInstanceOf(OrderAction.Load.class);
		reconciler.commandAnswered(CommandOutcome.STALE, this.clock.nanos());
		assertThat(reconciler.next(this.clock.nanos())).isInstanceOf(OrderAction.ReadFencingToken.class);
		reconciler.tokenReadAnswered(Optional.of(new FencingToken(2)), this.clock.nanos());
		assertThat(reconciler.next(this.clock.nanos())).isInstanceOf(OrderAction.Idle.class);
		assertThat(reconciler.accept(order)).isEqualTo(EngineReconciler.OrderStatus.STALE);
	}

	@Test
	void observesAfterACommandAndStopsASupersededOrder() {
		EngineReconciler reconciler = EngineReconciler.of(FenceChecking.CHECKS, OrderTimings.DEFAULT,
				this.clock.nanos());
		reconciler.accept(new EngineOrder(new FencingToken(1), OLD));
		reconciler.next(this.clock.nanos());
		reconciler.tokenReadAnswered(Optional.of(new FencingToken(1)), this.clock.nanos());
		reconciler.next(this.clock.nanos());
		reconciler.observed(Optional.of(FakeEngine.EMPTY), this.clock.nanos());
		reconciler.next(this.clock.nanos());
		reconciler.commandAnswered(CommandOutcome.DONE, this.clock.nanos());
		assertThat(reconciler.next(this.clock.nanos())).isInstanceOf(OrderAction.Observe.class);
		reconciler.observed(Optional.of(FakeEngine.EMPTY), this.clock.nanos());
		reconciler.accept(new EngineOrder(new FencingToken(2), NEW));
		reconciler.next(this.clock.nanos());
		reconciler.tokenReadAnswered(Optional.empty(), this.clock.nanos());
		assertThat(reconciler.next(this.clock.nanos())).isInstanceOf(OrderAction.Idle.class);
	}

	record Cell(FenceChecking checking, Fault fault, int step, int takeOverTick) {

	}

}
