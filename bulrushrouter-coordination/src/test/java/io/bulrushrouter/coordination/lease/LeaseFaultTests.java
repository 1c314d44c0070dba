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
 * Holders of a lease under each fault at each of their first calls. No old fencing number
 * is obeyed, no act is done twice, and the work goes on.
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

	private final Contender.Receiver receiver = new Contender.Receiver();

	private final List<String> acknowledged = new ArrayList<>();

	private final List<Contender> processes = new ArrayList<>();

	@AfterAll
	static void printCells() {
		System.out.println("lease fault cells run: " + cells.get());
	}

	static Stream<Cell> cells() {
		return Stream.of(Fault.values())
			.flatMap((fault) -> IntStream.rangeClosed(1, STEPS)
				.boxed()
				.flatMap((step) -> Stream.of(Rivalry.values()).map((rivalry) -> new Cell(fault, step, rivalry))));
	}

	@ParameterizedTest
	@MethodSource("cells")
	void keepsItsPromises(Cell cell) {
		cells.incrementAndGet();
		boolean bothFail = cell.rivalry() == Rivalry.BOTH_FAIL;
		Contender first = start("a1", cell.fault(), cell.step());
		Contender second = start("b1", bothFail ? cell.fault() : Fault.NONE, cell.step());
		for (int tick = 0; tick < TICKS; tick++) {
			boolean late = cell.rivalry() == Rivalry.SECOND_LATER && tick < 8;
			first.tick(true);
			if (!late) {
				second.tick(true);
			}
			this.processes.stream().skip(2).forEach((process) -> process.tick(true));
			assertAtMostOneHolder();
			List.of(first, second).forEach(this::mend);
			assertAtMostOneHolder();
			this.clock.advance(TICK);
		}
		assertJournalIsRight();
		assertThat(this.processes.stream().filter((process) -> process.held().isPresent()).count()).isEqualTo(1);
		assertThat(this.acknowledged.size()).isGreaterThan(TICKS / Contender.TICKS_PER_ACT / 2);
	}

	@Test
	void releasedLeaseIsTakenAtOnce() {
		Contender first = start("a1", Fault.NONE, 0);
		Contender second = start("b1", Fault.NONE, 0);
		IntStream.range(0, 4).forEach((tick) -> first.tick(true));
		assertThat(first.held().orElseThrow()).isEqualTo(new FencingNumber(1));
		first.tick(false);
		assertThat(first.held().isEmpty()).isTrue();
		IntStream.range(0, 3).forEach((tick) -> second.tick(true));
		assertThat(second.held().orElseThrow()).isEqualTo(new FencingNumber(2));
	}

	@Test
	void holderLosesTheLeaseWithTheConflict() {
		Lease lease = Lease.of(ObjectKey.of("lease", "a"), "a1", LeaseTerms.CONTROL);
		lease.next(true, this.clock.nanos());
		lease.looked(new ReadResult.Absent(), this.clock.nanos());
		lease.next(true, this.clock.nanos());
		lease.changed(new WriteResult.Written(1), this.clock.nanos());
		this.clock.advance(LeaseTerms.CONTROL.renewal());
		assertThat(lease.held(this.clock.nanos()).isPresent()).isTrue();
		lease.next(true, this.clock.nanos());
		lease.changed(new WriteResult.Conflict(), this.clock.nanos());
		assertThat(lease.held(this.clock.nanos()).isPresent()).isFalse();
	}

	@Test
	void processThatDoesNotWantTheLeaseMakesNoCalls() {
		Contender first = start("a1", Fault.NONE, 0);
		IntStream.range(0, TICKS).forEach((tick) -> first.tick(false));
		assertThat(this.memory.reads() + this.memory.writes()).isEqualTo(0);
	}

	@Test
	void malformedLeaseIsLeftAlone() {
		this.memory
			.write(Write.ofCreate(ObjectKey.of("lease", "a"), "?".getBytes(StandardCharsets.UTF_8), new WriteId("x")));
		Contender first = start("a1", Fault.NONE, 0);
		for (int tick = 0; tick < TICKS; tick++) {
			first.tick(true);
			this.clock.advance(TICK);
		}
		assertThat(first.held().isEmpty()).isTrue();
		assertThat(this.memory.writes()).isEqualTo(1);
	}

	private Contender start(String name, Fault fault, int step) {
		Contender process = new Contender(name, new FaultyStore(this.memory, fault, step), this.clock, this.receiver,
				this.acknowledged);
		this.processes.add(process);
		return process;
	}

	private void mend(Contender process) {
		int ticks = process.ticksSinceFault();
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

	private void assertJournalIsRight() {
		ReadResult.Found found = (ReadResult.Found) this.memory.read(Contender.JOURNAL).toCompletableFuture().join();
		List<Contender.Entry> journal = Contender.entries(new String(found.object().value(), StandardCharsets.UTF_8));
		assertThat(journal.stream().map(Contender.Entry::act).toList()).containsNoDuplicates();
		assertThat(journal.stream().map(Contender.Entry::act).toList()).containsAtLeastElementsIn(this.acknowledged);
		assertFencesRise(journal);
		assertFencesRise(this.receiver.obeyed());
		Map<Long, String> holders = new HashMap<>();
		Stream.concat(journal.stream(), this.receiver.obeyed().stream()).forEach((entry) -> {
			String other = Optional.ofNullable(holders.put(entry.fence(), entry.process())).orElse(entry.process());
			assertThat(entry.process()).isEqualTo(other);
		});
	}

	private static void assertFencesRise(List<Contender.Entry> entries) {
		List<Long> fences = entries.stream().map(Contender.Entry::fence).toList();
		assertThat(fences).isInOrder();
	}

	enum Rivalry {

		RACE, SECOND_LATER, BOTH_FAIL

	}

	record Cell(Fault fault, int step, Rivalry rivalry) {

	}

}
