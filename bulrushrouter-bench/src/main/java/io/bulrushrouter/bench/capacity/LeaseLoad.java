package io.bulrushrouter.bench.capacity;

import java.time.Duration;
import java.util.List;
import java.util.concurrent.atomic.AtomicLong;
import java.util.stream.IntStream;

import io.bulrushrouter.coordination.lease.Lease;
import io.bulrushrouter.coordination.lease.LeaseDriver;
import io.bulrushrouter.coordination.lease.LeaseTimings;
import io.bulrushrouter.kernel.store.ObjectKey;
import io.bulrushrouter.standin.MemoryObjectStore;

/**
 * Platform calls that it takes to hold a number of leases.
 *
 * @param readsPerSecond platform reads a second
 * @param writesPerSecond platform writes a second
 */
record LeaseLoad(double readsPerSecond, double writesPerSecond) {

	private static final Duration TICK = Duration.ofMillis(250);

	private static final int TICKS_PER_SECOND = 4;

	private static final int SECONDS = 60;

	static LeaseLoad run(int leases) {
		MemoryObjectStore store = new MemoryObjectStore();
		AtomicLong now = new AtomicLong();
		List<LeaseDriver> drivers = IntStream.range(0, leases)
			.mapToObj((index) -> LeaseDriver.of(
					Lease.of(ObjectKey.of("lease", "duty-" + index), "process-" + index, LeaseTimings.CONTROL), store,
					now::get, Runnable::run))
			.toList();
		tick(drivers, now);
		long reads = store.reads();
		long writes = store.writes();
		tick(drivers, now);
		return new LeaseLoad((store.reads() - reads) / (double) SECONDS, (store.writes() - writes) / (double) SECONDS);
	}

	private static void tick(List<LeaseDriver> drivers, AtomicLong now) {
		for (int tick = 0; tick < SECONDS * TICKS_PER_SECOND; tick++) {
			drivers.forEach((driver) -> driver.tick(true));
			now.addAndGet(TICK.toNanos());
		}
	}

}
