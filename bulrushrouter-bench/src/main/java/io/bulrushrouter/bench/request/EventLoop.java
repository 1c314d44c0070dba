package io.bulrushrouter.bench.request;

import java.util.Comparator;
import java.util.PriorityQueue;

/**
 * A discrete-event loop that runs tasks in the order of their simulated times. Tasks due
 * at the same time run in the order in which they were scheduled.
 */
final class EventLoop {

	static final long NANOS_PER_MILLI = 1_000_000L;

	private final PriorityQueue<Task> tasks = new PriorityQueue<>(
			Comparator.comparingLong(Task::nanos).thenComparingLong(Task::order));

	private long nowNanos;

	private long order;

	long nowNanos() {
		return this.nowNanos;
	}

	void after(double millis, Runnable action) {
		at(this.nowNanos + (long) (millis * NANOS_PER_MILLI), action);
	}

	void at(long nanos, Runnable action) {
		this.order++;
		this.tasks.add(new Task(Math.max(nanos, this.nowNanos), this.order, action));
	}

	void runUntil(long nanos) {
		while (!this.tasks.isEmpty() && this.tasks.peek().nanos() <= nanos) {
			Task task = this.tasks.poll();
			this.nowNanos = task.nanos();
			task.action().run();
		}
		this.nowNanos = nanos;
	}

	private record Task(long nanos, long order, Runnable action) {
	}

}
