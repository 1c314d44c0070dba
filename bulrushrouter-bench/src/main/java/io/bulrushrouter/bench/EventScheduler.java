package io.bulrushrouter.bench;

import java.util.PriorityQueue;

/**
 * Events in order of time; equal times keep the order in which they were added.
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
	 * Runs events until none is left before a time.
	 * @param untilNanos the time, in nanoseconds
	 */
	void runUntil(long untilNanos) {
		while (!this.events.isEmpty() && this.events.peek().nanos() <= untilNanos) {
			Event event = this.events.poll();
			this.nowNanos = event.nanos();
			event.action().run();
		}
	}

	/**
	 * An event.
	 *
	 * @param nanos when
	 * @param sequence breaks ties
	 * @param action what
	 */
	private record Event(long nanos, long sequence, Runnable action) implements Comparable<Event> {

		@Override
		public int compareTo(Event other) {
			int byTime = Long.compare(this.nanos, other.nanos);
			return (byTime != 0) ? byTime : Long.compare(this.sequence, other.sequence);
		}

	}

}
