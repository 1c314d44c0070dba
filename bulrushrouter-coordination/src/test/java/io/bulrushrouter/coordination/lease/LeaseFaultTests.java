package io.bulrushrouter.coordination.lease;

import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.stream.IntStream;
import java.util.stream.Stream;

import org.junit.jupiter.api.AfterAll;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.MethodSource;

import io.bulrushrouter.coordination.Fault;
import io.bulrushrouter.coordination.FaultyStore;
import io.bulrushrouter.coordination.ManualClock;
import io.bulrushrouter.kernel.store.ObjectKey;
import io.bulrushrouter.kernel.store.ReadResult;
import io.bulrushrouter.kernel.store.Write;
import io.bulrushrouter.kernel.store.WriteId;
import io.bulrushrouter.kernel.store.WriteResult;
import io.bulrushrouter.standin.MemoryObjectStore;

import static com.google.common.truth.Truth.assertThat;

/**
 * Runs competing processes with each fault injected at each of their first store calls.
 * Checks that stale fencing tokens are rejected, that no operation is applied twice and
 * that work continues after the fault.
 */
class LeaseFaultTests {

	private static final int STEPS = 24;

	private static final int TICKS = 800;

	private static final Duration TICK = Duration.ofMillis(250);

	private static final int FAULT_TICKS = 120;

	private static final int REPLACEMENT_TICKS = 20;

	private static final AtomicInteger cells = new AtomicInteger();

	private final ManualClock clock = new ManualClock();

	private final MemoryObjectStore memory = new MemoryObjectStore();

	private final LeaseCandidate.FencedReceiver receiver = new LeaseCandidate.FencedReceiver();

	private final List<String> acknowledged = new ArrayList<>();

	private final List<LeaseCandidate> processes = new ArrayList<>();

	@AfterAll
	static void printCells() {
		System.out.println("lease fault cells run: " + cells.get());
	}

	static Stream<Cell> cells() {
		return Stream.of(Fault.values())
			.flatMap((fault) -> IntStream.rangeClosed(1, STEPS)
				.boxed()
				.flatMap((step) -> Stream.of(Contention.values())
					.map((contention) -> new Cell(fault, step, contention))));
	}

	@ParameterizedTest
	@MethodSource("cells")
	void keepsItsGuaranteesUnderFaults(Cell cell) {
		cells.incrementAndGet();
		boolean bothFail = cell.contention() == Contention.BOTH_FAIL;
		LeaseCandidate first = start("a1", cell.fault(), cell.step());
		LeaseCandidate second = start("b1", bothFail ? cell.fault() : Fault.NONE, cell.step());
		for (int tick = 0; tick < TICKS; tick++) {
			boolean late = cell.contention() == Contention.SECOND_LATER && tick < 8;
			first.tick(true);
			if (!late) {
				second.tick(true);
			}
			this.processes.stream().skip(2).forEach((process) -> process.tick(true));
			assertAtMostOneHolder();
			List.of(first, second).forEach(this::recover);
			assertAtMostOneHolder();
			this.clock.advance(TICK);
		}
		assertJournalIsConsistent();
		assertThat(this.processes.stream().filter((process) -> process.held().isPresent()).count()).isEqualTo(1);
		assertThat(this.acknowledged.size()).isGreaterThan(TICKS / LeaseCandidate.TICKS_PER_OPERATION / 2);
	}

	@Test
	void releasedLeaseIsAcquiredWithoutWaiting() {
		LeaseCandidate first = start("a1", Fault.NONE, 0);
		LeaseCandidate second = start("b1", Fault.NONE, 0);
		IntStream.range(0, 4).forEach((tick) -> first.tick(true));
		assertThat(first.held().orElseThrow()).isEqualTo(new FencingToken(1));
		first.tick(false);
		assertThat(first.held().isEmpty()).isTrue();
		IntStream.range(0, 3).forEach((tick) -> second.tick(true));
		assertThat(second.held().orElseThrow()).isEqualTo(new FencingToken(2));
	}

	@Test
	void holderLosesTheLeaseOnConflict() {
		Lease lease = Lease.of(ObjectKey.of("lease", "a"), "a1", LeaseTimings.CONTROL);
		lease.next(true, this.clock.nanos());
		lease.readAnswered(new ReadResult.Absent(), this.clock.nanos());
		lease.next(true, this.clock.nanos());
		lease.writeAnswered(new WriteResult.Written(1), this.clock.nanos());
		this.clock.advance(LeaseTimings.CONTROL.renewalInterval());
		assertThat(lease.held(this.clock.nanos()).isPresent()).isTrue();
		lease.next(true, this.clock.nanos());
		lease.writeAnswered(new WriteResult.Conflict(), this.clock.nanos());
		assertThat(lease.held(this.clock.nanos()).isPresent()).isFalse();
	}

	@Test
	void processThatDoesNotWantTheLeaseMakesNoCalls() {
		LeaseCandidate first = start("a1", Fault.NONE, 0);
		IntStream.range(0, TICKS).forEach((tick) -> first.tick(false));
		assertThat(this.memory.reads() + this.memory.writes()).isEqualTo(0);
	}

	@Test
	void malformedLeaseIsNotOverwritten() {
		this.memory
			.write(Write.ofCreate(ObjectKey.of("lease", "a"), "?".getBytes(StandardCharsets.UTF_8), new WriteId("x")));
		LeaseCandidate first = start("a1", Fault.NONE, 0);
		for (int tick = 0; tick < TICKS; tick++) {
			first.tick(true);
			this.clock.advance(TICK);
		}
		assertThat(first.held().isEmpty()).isTrue();
		assertThat(this.memory.writes()).isEqualTo(1);
	}

	private LeaseCandidate start(String name, Fault fault, int step) {
		LeaseCandidate process = new LeaseCandidate(name, new FaultyStore(this.memory, fault, step), this.clock,
				this.receiver, this.acknowledged);
		this.processes.add(process);
		return process;
	}

	private void recover(LeaseCandidate process) {
		int ticks = process.ticksAfterFault();
		if (ticks == FAULT_TICKS) {
			this.memory.down(false);
			process.store().resume();
		}
		if (process.store().isKilled() && ticks == REPLACEMENT_TICKS) {
			start(process.name() + "'", Fault.NONE, 0);
		}
	}

	private void assertAtMostOneHolder() {
		long holders = this.processes.stream()
			.filter((process) -> !process.store().isPaused() && !process.store().isKilled())
			.filter((process) -> process.held().isPresent())
			.count();
		assertThat(holders).isAtMost(1);
	}

	private void assertJournalIsConsistent() {
		ReadResult.Found found = (ReadResult.Found) this.memory.read(LeaseCandidate.JOURNAL)
			.toCompletableFuture()
			.join();
		List<LeaseCandidate.Entry> journal = LeaseCandidate
			.entries(new String(found.object().value(), StandardCharsets.UTF_8));
		assertThat(journal.stream().map(LeaseCandidate.Entry::operation).toList()).containsNoDuplicates();
		assertThat(journal.stream().map(LeaseCandidate.Entry::operation).toList())
			.containsAtLeastElementsIn(this.acknowledged);
		assertTokensNeverDecrease(journal);
		assertTokensNeverDecrease(this.receiver.accepted());
		Map<Long, String> holders = new HashMap<>();
		Stream.concat(journal.stream(), this.receiver.accepted().stream()).forEach((entry) -> {
			String other = Optional.ofNullable(holders.put(entry.fence(), entry.process())).orElse(entry.process());
			assertThat(entry.process()).isEqualTo(other);
		});
	}

	private static void assertTokensNeverDecrease(List<LeaseCandidate.Entry> entries) {
		List<Long> fences = entries.stream().map(LeaseCandidate.Entry::fence).toList();
		assertThat(fences).isInOrder();
	}

	enum Contention {

		RACE, SECOND_LATER, BOTH_FAIL

	}

	record Cell(Fault fault, int step, Contention contention) {

	}

}
