package io.bulrushrouter.request;

import java.time.Duration;
import java.util.Collection;
import java.util.Comparator;
import java.util.Optional;
import java.util.PriorityQueue;

/**
 * Tracks when attempts that have not started are rejected: a margin before their
 * deadlines, so that the rejection arrives in time.
 */
final class WaiterDeadlines {

	private final PriorityQueue<EngineRun.Waiter> waiters = new PriorityQueue<>(
			Comparator.comparingLong(EngineRun.Waiter::deadlineNanos));

	private final Duration margin;

	WaiterDeadlines(Duration margin) {
		this.margin = margin;
	}

	void add(EngineRun.Waiter waiter) {
		this.waiters.add(waiter);
	}

	void remove(EngineRun.Waiter waiter) {
		this.waiters.remove(waiter);
	}

	void removeAll(Collection<EngineRun.Waiter> removed) {
		this.waiters.removeAll(removed);
	}

	boolean isLate(EngineRun.Waiter waiter, long nowNanos) {
		return waiter.deadlineNanos() - this.margin.toNanos() <= nowNanos;
	}

	// Removes and returns an attempt that has to be rejected now.
	Optional<EngineRun.Waiter> pollLate(long nowNanos) {
		return (this.waiters.isEmpty() || !isLate(this.waiters.peek(), nowNanos)) ? Optional.empty()
				: Optional.of(this.waiters.poll());
	}

	long nextWakeNanos() {
		return this.waiters.isEmpty() ? Long.MAX_VALUE : this.waiters.peek().deadlineNanos() - this.margin.toNanos();
	}

}
