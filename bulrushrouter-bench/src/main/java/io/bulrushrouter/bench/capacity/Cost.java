package io.bulrushrouter.bench.capacity;

import java.lang.management.ManagementFactory;
import java.util.Arrays;
import java.util.function.Supplier;

import com.sun.management.ThreadMXBean;

/**
 * Processor time and allocation of an operation in the calling thread.
 *
 * @param cpuNanos processor time of one operation, in nanoseconds
 * @param allocatedBytes allocation of one operation, in bytes
 */
record Cost(double cpuNanos, double allocatedBytes) {

	private static final int WARM_UPS = 3;

	private static final int REPEATS = 7;

	private static final ThreadMXBean THREADS = (ThreadMXBean) ManagementFactory.getThreadMXBean();

	/**
	 * Measures an operation and returns the medians of several repeats of a loop, after
	 * warm-up.
	 * @param operations the number of operations in a loop
	 * @param operation the operation
	 * @return the median cost of one operation
	 */
	static Cost of(int operations, Runnable operation) {
		double[] times = new double[REPEATS];
		double[] sizes = new double[REPEATS];
		for (int repeat = -WARM_UPS; repeat < REPEATS; repeat++) {
			Cost cost = measureOnce(operations, operation);
			if (repeat >= 0) {
				times[repeat] = cost.cpuNanos;
				sizes[repeat] = cost.allocatedBytes;
			}
		}
		Arrays.sort(times);
		Arrays.sort(sizes);
		return new Cost(times[REPEATS / 2], sizes[REPEATS / 2]);
	}

	private static Cost measureOnce(int operations, Runnable operation) {
		long thread = Thread.currentThread().getId();
		long bytesBefore = THREADS.getThreadAllocatedBytes(thread);
		long nanosBefore = THREADS.getCurrentThreadCpuTime();
		for (int i = 0; i < operations; i++) {
			operation.run();
		}
		double usedNanos = THREADS.getCurrentThreadCpuTime() - nanosBefore;
		double usedBytes = THREADS.getThreadAllocatedBytes(thread) - bytesBefore;
		return new Cost(usedNanos / operations, usedBytes / operations);
	}

	/**
	 * Returns the memory that is allocated to build an object.
	 * @param builder builds the object
	 * @return the allocation in bytes
	 */
	static double allocatedBytesOf(Supplier<?> builder) {
		return of(1, builder::get).allocatedBytes;
	}

}
