package io.bulrushrouter.gateway.admission;

import java.util.concurrent.TimeUnit;

/**
 * How many streams of one service this entry keeps in flight. A group of model engines
 * serves about as many streams a second with half of its slots taken as with all of them,
 * but each pass is longer and each new stream waits; beyond that point more streams only
 * make all of them late. The limit grows while first events come within their objective
 * and shrinks while they do not, as in congestion control: entries that know nothing of
 * each other arrive at equal shares, and a lost entry's share goes to the others. Pauses
 * do not count: they are long when topics turn, whatever the load. Not thread-safe.
 */
public final class ConcurrencyLimit {

	/** Weight of the newest first event in their mean. */
	private static final double FIRST_EVENT_WEIGHT = 0.15;

	/**
	 * Part of the first event's objective above which the limit shrinks: streams wait in
	 * the engines' queues. Topics that turn lengthen passes for some hundred milliseconds
	 * and stay below it.
	 */
	private static final double SHRINK_THRESHOLD = 1.7;

	/** Part of the first event's objective up to which the limit grows. */
	private static final double GROWTH_THRESHOLD = 0.8;

	private static final double SHRINK_FACTOR = 0.95;

	/** What a first event in time adds, spread over the streams of the limit. */
	private static final double GROWTH_INCREMENT = 2;

	/** Time for a change of the limit to show in what is measured: a few passes. */
	private static final long MIN_SHRINK_INTERVAL_NANOS = TimeUnit.MILLISECONDS.toNanos(300);

	/**
	 * The least part of all slots that an entry may take: enough for two dozen entries.
	 */
	private static final double MIN_SHARE = 1.0 / 24;

	private static final double INITIAL_SHARE = 1.0 / 4;

	private final long objectiveMillis;

	private double limit;

	private int slots;

	private int inFlight;

	private double meanFirstEventMillis;

	private long nextShrinkNanos = Long.MIN_VALUE;

	/**
	 * Creates a limit.
	 * @param objectiveMillis the objective of the first event, in milliseconds
	 */
	public ConcurrencyLimit(long objectiveMillis) {
		this.objectiveMillis = objectiveMillis;
	}

	/**
	 * Sets the slots of all upstreams that accept requests.
	 * @param slots the slots
	 */
	public void slots(int slots) {
		if (this.slots == 0) {
			this.limit = INITIAL_SHARE * slots;
		}
		this.slots = slots;
	}

	/**
	 * Returns the limit.
	 * @return streams in flight at most
	 */
	public int limit() {
		return (int) Math.max(minimum(), Math.min(this.slots, this.limit));
	}

	private double minimum() {
		return Math.max(1, MIN_SHARE * this.slots);
	}

	/**
	 * Returns the streams in flight.
	 * @return the number
	 */
	public int inFlight() {
		return this.inFlight;
	}

	/**
	 * Tells whether another stream fits.
	 * @return whether there is room
	 */
	public boolean hasCapacity() {
		return this.inFlight < limit();
	}

	/**
	 * Notes that a stream was sent on.
	 */
	public void started() {
		this.inFlight++;
	}

	/**
	 * Notes that a stream ended.
	 */
	public void ended() {
		this.inFlight--;
	}

	/**
	 * Notes the first event of a stream.
	 * @param millis the time since it was sent on, in milliseconds
	 * @param nowNanos the time
	 */
	public void firstEvent(double millis, long nowNanos) {
		this.meanFirstEventMillis += FIRST_EVENT_WEIGHT * (millis - this.meanFirstEventMillis);
		double ratio = this.meanFirstEventMillis / this.objectiveMillis;
		if (ratio > SHRINK_THRESHOLD) {
			shrink(nowNanos);
		}
		else if (ratio < GROWTH_THRESHOLD && this.inFlight >= limit() - 2) {
			this.limit = Math.min(this.slots, Math.max(this.limit, minimum()) + GROWTH_INCREMENT / limit());
		}
	}

	private void shrink(long nowNanos) {
		if (nowNanos >= this.nextShrinkNanos) {
			// From what is in flight: a limit that was not reached did no harm.
			this.limit = Math.max(minimum(), SHRINK_FACTOR * Math.min(this.limit, this.inFlight + 1));
			this.nextShrinkNanos = nowNanos + MIN_SHRINK_INTERVAL_NANOS;
		}
	}

}
