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
import io.bulrushrouter.kernel.store.WriteId;
import io.bulrushrouter.kernel.store.WriteResult;
import io.bulrushrouter.standin.MemoryObjectStore;

/**
 * Simulates all processes of the target size against one platform, on a simulated clock.
 */
final class BudgetFleet {

	private static final Duration STEP = Duration.ofMillis(250);

	private static final int STEPS_PER_SECOND = 4;

	private static final int WARM_UP_SECONDS = 60;

	private static final int STARTUP_SECONDS = 10;

	private static final int DATA_CENTRES = 11;

	private final BudgetScenario scenario;

	private final SimulatedTime time = new SimulatedTime();

	private final MemoryObjectStore objects = new MemoryObjectStore();

	private final SimulatedPlatform platform = new SimulatedPlatform();

	private final List<LiveInstance> instances;

	private final List<BudgetProcess> processes = new ArrayList<>();

	private final Map<BudgetRole, long[]> lastCalls = new EnumMap<>(BudgetRole.class);

	BudgetFleet(BudgetScenario scenario) {
		this.scenario = scenario;
		this.instances = IntStream.range(0, BudgetScenario.ENTRIES + BudgetScenario.SIDECARS)
			.mapToObj((index) -> new LiveInstance(InstanceId.of("i" + index),
					DataCentreId.of("dc" + index % DATA_CENTRES),
					(index < BudgetScenario.ENTRIES) ? "entry" : "sidecar", "10.0.0.1:" + index, false))
			.toList();
		this.objects.write(Write.ofCreate(RelayWatch.keyOf("main"), new byte[0], new WriteId("first")));
	}

	BudgetMeter run(int seconds) {
		BudgetMeter meter = new BudgetMeter(seconds);
		if (!this.scenario.restart()) {
			runFor(WARM_UP_SECONDS, new BudgetMeter(WARM_UP_SECONDS));
		}
		if (this.scenario.outageSeconds() > 0) {
			this.objects.down(true);
			runFor(this.scenario.outageSeconds(), new BudgetMeter(this.scenario.outageSeconds()));
			this.objects.down(false);
		}
		runFor(seconds, meter);
		return meter;
	}

	private void runFor(int seconds, BudgetMeter meter) {
		for (int step = 0; step < seconds * STEPS_PER_SECOND; step++) {
			startProcesses();
			double now = this.time.seconds();
			this.processes.forEach((process) -> process.tick(now, STEP));
			this.time.advance(STEP);
			this.platform.expireWatches();
			if (step % STEPS_PER_SECOND == STEPS_PER_SECOND - 1) {
				recordCalls(meter, step / STEPS_PER_SECOND);
			}
		}
	}

	private void startProcesses() {
		int targetCount = (int) Math.min(this.instances.size(),
				(this.time.seconds() + 1.0 / STEPS_PER_SECOND) / STARTUP_SECONDS * this.instances.size());
		for (int index = this.processes.size(); index < targetCount; index++) {
			this.processes.add(new BudgetProcess(this.instances.get(index), this.instances, this.scenario,
					this.platform, this.time, index));
		}
	}

	private void recordCalls(BudgetMeter meter, int second) {
		for (BudgetRole role : BudgetRole.values()) {
			long reads = 0;
			long writes = 0;
			for (BudgetProcess process : this.processes) {
				for (CallCounts counts : process.counts(role)) {
					reads += counts.reads() + counts.watches();
					writes += counts.writes();
				}
			}
			long[] before = this.lastCalls.getOrDefault(role, new long[2]);
			meter.addReads(role, second, reads - before[0]);
			meter.addWrites(role, second, writes - before[1]);
			this.lastCalls.put(role, new long[] { reads, writes });
		}
		// A pending watch counts as one read in each second that it waits.
		meter.addReads(BudgetRole.RELAY, second, this.platform.pendingWatches());
	}

	/**
	 * A platform whose watches complete when their wait time has passed.
	 */
	private final class SimulatedPlatform implements ObjectStore {

		private final Deque<PendingWatch> watches = new ArrayDeque<>();

		@Override
		public CompletionStage<ReadResult> read(ObjectKey key) {
			return BudgetFleet.this.objects.read(key);
		}

		@Override
		public CompletionStage<WriteResult> write(Write write) {
			return BudgetFleet.this.objects.write(write);
		}

		@Override
		public CompletionStage<ListResult> list(String prefix) {
			return BudgetFleet.this.objects.list(prefix);
		}

		@Override
		public CompletionStage<ReadResult> watch(ObjectKey key, long afterVersion, Duration wait) {
			CompletionStage<ReadResult> response = BudgetFleet.this.objects.watch(key, afterVersion, wait);
			this.watches.add(new PendingWatch(response, BudgetFleet.this.time.nanos() + wait.toNanos()));
			return response;
		}

		private void expireWatches() {
			long now = BudgetFleet.this.time.nanos();
			while (!this.watches.isEmpty() && this.watches.peek().endNanos() <= now) {
				BudgetFleet.this.objects.cancelWatch(this.watches.poll().response());
			}
		}

		private long pendingWatches() {
			return this.watches.stream().filter((watch) -> !watch.response().toCompletableFuture().isDone()).count();
		}

	}

	private record PendingWatch(CompletionStage<ReadResult> response, long endNanos) {
	}

}
