package io.bulrushrouter.gateway.admission;

import java.util.concurrent.TimeUnit;

/**
 * Adaptive limit of the streams of one service that this entry keeps in flight. A group
 * of model engines serves about as many streams per second with half of its slots taken
 * as with all of them, but with more streams each forward pass takes longer and each new
 * stream waits: beyond that point more streams only make all of them late. The limit
 * grows while the latency of first events stays within its objective and shrinks while it
 * does not, as in congestion control. Entries thus converge to equal shares without
 * coordination, and the share of a failed entry goes to the others. Pauses between later
 * events are the concern of {@link io.bulrushrouter.routing.admission.PaceLimit}. Not
 * thread-safe.
 */
public final class ConcurrencyLimit {

	/** Weight of the newest sample in the moving average of first-event latency. */
	private static final double FIRST_EVENT_WEIGHT = 0.15;

	/**
	 * Ratio of first-event latency to its objective above which the limit shrinks, since
	 * streams then wait in the engines' queues. A change of topics lengthens forward
	 * passes for some hundred milliseconds, which stays below this ratio.
	 */
	private static final double SHRINK_THRESHOLD = 1.7;

	/** Ratio of first-event latency to its objective below which the limit grows. */
	private static final double GROWTH_THRESHOLD = 0.8;

	private static final double SHRINK_FACTOR = 0.95;

	/** Added to the limit by a first event in time, divided by the limit. */
	private static final double GROWTH_INCREMENT = 2;

	/**
	 * Minimum time between two reductions. A change of the limit takes a few forward
	 * passes to show in the measured latency.
	 */
	private static final long MIN_SHRINK_INTERVAL_NANOS = TimeUnit.MILLISECONDS.toNanos(300);

	/**
	 * Minimum share of all slots that an entry may use, so that two dozen entries fit.
	 */
	private static final double MIN_SHARE = 1.0 / 24;

	/** Share of all slots that an entry may use at first. */
	private static final double INITIAL_SHARE = 1.0 / 4;

	private final long objectiveMillis;

	private double limit;

	private int slots;

	private int inFlight;

	private double meanFirstEventMillis;

	private long nextShrinkNanos = Long.MIN_VALUE;

	/**
	 * Creates a limit.
	 * @param objectiveMillis the objective for the latency of the first event, in
	 * milliseconds
	 */
	public ConcurrencyLimit(long objectiveMillis) {
		this.objectiveMillis = objectiveMillis;
	}

	/**
	 * Sets the total number of slots of all upstreams that accept requests. If there were
	 * none before, the limit starts from its initial share of them.
	 * @param slots the number of slots
	 */
	public void slots(int slots) {
		if (this.slots == 0) {
			this.limit = INITIAL_SHARE * slots;
		}
		this.slots = slots;
	}

	/**
	 * Returns the current limit.
	 * @return the maximum number of streams in flight
	 */
	public int limit() {
		return (int) Math.max(minimum(), Math.min(this.slots, this.limit));
	}

	private double minimum() {
		return Math.max(1, MIN_SHARE * this.slots);
	}

	/**
	 * Returns the number of streams in flight.
	 * @return the number of streams in flight
	 */
	public int inFlight() {
		return this.inFlight;
	}

	/**
	 * Returns whether another stream may be admitted.
	 * @return whether fewer streams are in flight than the limit
	 */
	public boolean hasCapacity() {
		return this.inFlight < limit();
	}

	/**
	 * Records that a stream was admitted.
	 */
	public void started() {
		this.inFlight++;
	}

	/**
	 * Records that an admitted stream ended.
	 */
	public void ended() {
		this.inFlight--;
	}

	/**
	 * Records the first event of a stream and adapts the limit.
	 * @param millis the time since the stream was sent to its upstream, in milliseconds
	 * @param nowNanos the current monotonic time, in nanoseconds
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
			// Shrinks from the streams in flight: a limit that was not reached did not
			// cause the latency.
			this.limit = Math.max(minimum(), SHRINK_FACTOR * Math.min(this.limit, this.inFlight + 1));
			this.nextShrinkNanos = nowNanos + MIN_SHRINK_INTERVAL_NANOS;
		}
	}

}
