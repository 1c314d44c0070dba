package io.bulrushrouter.bench;

import java.util.PriorityQueue;

/**
 * A discrete-event scheduler on simulated time. Events due at the same time run in the
 * order in which they were added.
 */
final class EventScheduler {

	private final PriorityQueue<Event> events = new PriorityQueue<>();

	private long sequence;

	private long nowNanos;

	long nowNanos() {
		return this.nowNanos;
	}

	void at(long nanos, Runnable action) {
		this.sequence++;
		this.events.add(new Event(Math.max(nanos, this.nowNanos), this.sequence, action));
	}

	void after(double millis, Runnable action) {
		at(this.nowNanos + (long) (millis * 1e6), action);
	}

	/**
	 * Runs all events that are due up to a time.
	 * @param untilNanos the simulated time, inclusive, in nanoseconds
	 */
	void runUntil(long untilNanos) {
		while (!this.events.isEmpty() && this.events.peek().nanos() <= untilNanos) {
			Event event = this.events.poll();
			this.nowNanos = event.nanos();
			event.action().run();
		}
	}

	/**
	 * A scheduled action.
	 *
	 * @param nanos the time at which it is due, in nanoseconds
	 * @param sequence the order among events due at the same time
	 * @param action the action to run
	 */
	private record Event(long nanos, long sequence, Runnable action) implements Comparable<Event> {

		@Override
		public int compareTo(Event other) {
			int byTime = Long.compare(this.nanos, other.nanos);
			return (byTime != 0) ? byTime : Long.compare(this.sequence, other.sequence);
		}

	}

}
