package io.bulrushrouter.bench.path;

import java.lang.management.ManagementFactory;
import java.util.Set;

import com.sun.management.ThreadMXBean;

/**
 * What the threads of entries and sidecars have allocated, and how long they have run.
 *
 * @param bytes the bytes
 * @param cpuNanos the processor time, in nanoseconds
 */
record AllocatedBytes(long bytes, long cpuNanos) {

	private static final Set<String> NAMES = Set.of("entry", "sidecar");

	static AllocatedBytes now() {
		ThreadMXBean threads = (ThreadMXBean) ManagementFactory.getThreadMXBean();
		long bytes = 0;
		long cpuNanos = 0;
		for (long id : threads.getAllThreadIds()) {
			var info = threads.getThreadInfo(id);
			if (info != null && isOurs(info.getThreadName())) {
				bytes += Math.max(0, threads.getThreadAllocatedBytes(id));
				cpuNanos += Math.max(0, threads.getThreadCpuTime(id));
			}
		}
		return new AllocatedBytes(bytes, cpuNanos);
	}

	private static boolean isOurs(String name) {
		return NAMES.contains(name) || name.startsWith("network-");
	}

	long until(AllocatedBytes later) {
		return later.bytes - this.bytes;
	}

	long cpuUntil(AllocatedBytes later) {
		return later.cpuNanos - this.cpuNanos;
	}

}
