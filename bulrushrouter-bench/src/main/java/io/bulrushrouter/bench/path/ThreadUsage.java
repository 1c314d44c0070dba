package io.bulrushrouter.bench.path;

import java.lang.management.ManagementFactory;
import java.util.Set;

import com.sun.management.ThreadMXBean;

/**
 * A snapshot of the memory that the threads of entries and sidecars have allocated and of
 * the processor time that they have used.
 *
 * @param allocatedBytes the bytes allocated since the threads started
 * @param cpuNanos the processor time used, in nanoseconds
 */
record ThreadUsage(long allocatedBytes, long cpuNanos) {

	private static final Set<String> THREAD_NAMES = Set.of("entry", "sidecar");

	static ThreadUsage now() {
		ThreadMXBean threads = (ThreadMXBean) ManagementFactory.getThreadMXBean();
		long allocatedBytes = 0;
		long cpuNanos = 0;
		for (long id : threads.getAllThreadIds()) {
			var info = threads.getThreadInfo(id);
			if (info != null && isMeasured(info.getThreadName())) {
				allocatedBytes += Math.max(0, threads.getThreadAllocatedBytes(id));
				cpuNanos += Math.max(0, threads.getThreadCpuTime(id));
			}
		}
		return new ThreadUsage(allocatedBytes, cpuNanos);
	}

	private static boolean isMeasured(String name) {
		return THREAD_NAMES.contains(name) || name.startsWith("network-");
	}

	long allocatedBytesUntil(ThreadUsage later) {
		return later.allocatedBytes - this.allocatedBytes;
	}

	long cpuNanosUntil(ThreadUsage later) {
		return later.cpuNanos - this.cpuNanos;
	}

}
