package io.bulrushrouter.bench.platform;

import java.time.Duration;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.EnumMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.CompletionStage;
import java.util.stream.IntStream;

import io.bulrushrouter.coordination.CallCounts;
import io.bulrushrouter.coordination.configuration.RelayWatch;
import io.bulrushrouter.kernel.DataCentreId;
import io.bulrushrouter.kernel.InstanceId;
import io.bulrushrouter.kernel.store.ListResult;
import io.bulrushrouter.kernel.store.LiveInstance;
import io.bulrushrouter.kernel.store.ObjectKey;
import io.bulrushrouter.kernel.store.ObjectStore;
import io.bulrushrouter.kernel.store.ReadResult;
import io.bulrushrouter.kernel.store.Write;
import io.bulrushrouter.kernel.store.WriteResult;
import io.bulrushrouter.kernel.store.WriterMark;
import io.bulrushrouter.standin.MemoryObjectStore;

/**
 * All processes of the target size against one platform, on a simulated clock.
 */
final class BudgetFleet {

	private static final Duration STEP = Duration.ofMillis(250);

	private static final int STEPS_PER_SECOND = 4;

	private static final int WARM_UP_SECONDS = 60;

	private static final int START_SECONDS = 10;

	private static final int DATA_CENTRES = 11;

	private final BudgetWork work;

	private final SimulatedTime time = new SimulatedTime();

	private final MemoryObjectStore memory = new MemoryObjectStore();

	private final Platform platform = new Platform();

	private final List<LiveInstance> list;

	private final List<BudgetProcess> processes = new ArrayList<>();

	private final Map<BudgetRole, long[]> last = new EnumMap<>(BudgetRole.class);

	BudgetFleet(BudgetWork work) {
		this.work = work;
		this.list = IntStream.range(0, BudgetWork.ENTRIES + BudgetWork.SIDECARS)
			.mapToObj((index) -> new LiveInstance(InstanceId.of("i" + index),
					DataCentreId.of("dc" + index % DATA_CENTRES), (index < BudgetWork.ENTRIES) ? "entry" : "sidecar",
					"10.0.0.1:" + index, false))
			.toList();
		this.memory.write(Write.ofCreate(RelayWatch.keyOf("main"), new byte[0], new WriterMark("first")));
	}

	BudgetMeter run(int seconds) {
		BudgetMeter meter = new BudgetMeter(seconds);
		if (!this.work.restart()) {
			step(WARM_UP_SECONDS, new BudgetMeter(WARM_UP_SECONDS));
		}
		if (this.work.outageSeconds() > 0) {
			this.memory.down(true);
			step(this.work.outageSeconds(), new BudgetMeter(this.work.outageSeconds()));
			this.memory.down(false);
		}
		step(seconds, meter);
		return meter;
	}

	private void step(int seconds, BudgetMeter meter) {
		for (int step = 0; step < seconds * STEPS_PER_SECOND; step++) {
			start();
			double now = this.time.seconds();
			this.processes.forEach((process) -> process.tick(now, STEP));
			this.time.advance(STEP);
			this.platform.expire();
			if (step % STEPS_PER_SECOND == STEPS_PER_SECOND - 1) {
				count(meter, step / STEPS_PER_SECOND);
			}
		}
	}

	private void start() {
		int wanted = (int) Math.min(this.list.size(),
				(this.time.seconds() + 1.0 / STEPS_PER_SECOND) / START_SECONDS * this.list.size());
		for (int index = this.processes.size(); index < wanted; index++) {
			this.processes
				.add(new BudgetProcess(this.list.get(index), this.list, this.work, this.platform, this.time, index));
		}
	}

	private void count(BudgetMeter meter, int second) {
		for (BudgetRole role : BudgetRole.values()) {
			long reads = 0;
			long writes = 0;
			for (BudgetProcess process : this.processes) {
				for (CallCounts counts : process.counts(role)) {
					reads += counts.reads() + counts.watches();
					writes += counts.writes();
				}
			}
			long[] before = this.last.getOrDefault(role, new long[2]);
			meter.addReads(role, second, reads - before[0]);
			meter.addWrites(role, second, writes - before[1]);
			this.last.put(role, new long[] { reads, writes });
		}
		// A waiting watch counts as one read in each second that it waits.
		meter.addReads(BudgetRole.RELAY, second, this.platform.waiting());
	}

	/**
	 * The platform, whose watches end after their wait.
	 */
	private final class Platform implements ObjectStore {

		private final Deque<Waiting> watches = new ArrayDeque<>();

		@Override
		public CompletionStage<ReadResult> read(ObjectKey key) {
			return BudgetFleet.this.memory.read(key);
		}

		@Override
		public CompletionStage<WriteResult> write(Write write) {
			return BudgetFleet.this.memory.write(write);
		}

		@Override
		public CompletionStage<ListResult> list(String prefix) {
			return BudgetFleet.this.memory.list(prefix);
		}

		@Override
		public CompletionStage<ReadResult> watch(ObjectKey key, long afterVersion, Duration wait) {
			CompletionStage<ReadResult> answer = BudgetFleet.this.memory.watch(key, afterVersion, wait);
			this.watches.add(new Waiting(answer, BudgetFleet.this.time.nanos() + wait.toNanos()));
			return answer;
		}

		private void expire() {
			long now = BudgetFleet.this.time.nanos();
			while (!this.watches.isEmpty() && this.watches.peek().end() <= now) {
				BudgetFleet.this.memory.cancelWatch(this.watches.poll().answer());
			}
		}

		private long waiting() {
			return this.watches.stream().filter((watch) -> !watch.answer().toCompletableFuture().isDone()).count();
		}

	}

	private record Waiting(CompletionStage<ReadResult> answer, long end) {
	}

}
