package io.bulrushrouter.gateway.upstream;

import java.util.concurrent.TimeUnit;
import java.util.function.BooleanSupplier;

/**
 * Observes one attempt, from which the entry learns the capacity of the upstream. Calls
 * after the end of the attempt have no effect. Not thread-safe.
 */
public final class AttemptObservation {

	/** An observation from which nothing is learned. */
	public static final AttemptObservation NONE = new AttemptObservation();

	/**
	 * Events over which an interval is measured. Several may arrive in one read after a
	 * pause.
	 */
	private static final int EVENTS_PER_INTERVAL = 4;

	/** Time after which an interval is measured over fewer events. */
	private static final long MAX_INTERVAL_NANOS = TimeUnit.SECONDS.toNanos(1);

	private final UpstreamCapacity capacity;

	private final BooleanSupplier cold;

	private final boolean stream;

	private final int requestClass;

	private final long sentNanos;

	private final double expectedNanos;

	private boolean answered;

	private boolean ended;

	private int measuredEvents;

	private long measuredNanos;

	private AttemptObservation() {
		this.capacity = new UpstreamCapacity();
		this.cold = () -> true;
		this.stream = false;
		this.requestClass = 0;
		this.sentNanos = 0;
		this.expectedNanos = Double.POSITIVE_INFINITY;
		this.answered = true;
		this.ended = true;
	}

	/**
	 * Creates an observation.
	 * @param capacity what is learned of the upstream
	 * @param cold whether the upstream is cold, so that it is not judged
	 * @param stream whether the answer is a stream of events
	 * @param requestClass the class of the request
	 * @param expectedNanos the expected time to the answer or its first event, in
	 * nanoseconds
	 * @param sentNanos when the attempt was sent, in nanoseconds
	 */
	AttemptObservation(UpstreamCapacity capacity, BooleanSupplier cold, boolean stream, int requestClass,
			double expectedNanos, long sentNanos) {
		this.capacity = capacity;
		this.cold = cold;
		this.stream = stream;
		this.requestClass = requestClass;
		this.expectedNanos = expectedNanos;
		this.sentNanos = sentNanos;
	}

	/**
	 * Returns how late the answer is.
	 * @param nowNanos the current monotonic time, in nanoseconds
	 * @return the deviation if it arrived now, negative infinity if it is not late
	 */
	double deviation(long nowNanos) {
		double openNanos = nowNanos - this.sentNanos;
		boolean late = openNanos > this.expectedNanos && !this.cold.getAsBoolean();
		return late ? LatencyReference.deviation(openNanos, this.expectedNanos) : Double.NEGATIVE_INFINITY;
	}

	/**
	 * Records that a part of the answer has arrived.
	 * @param events the events of this attempt so far, 0 if it is no stream
	 * @param relayed whether parts are relayed to the caller, who may then delay them
	 * @param nowNanos the current monotonic time, in nanoseconds
	 */
	public void progress(int events, boolean relayed, long nowNanos) {
		if (this.ended) {
			return;
		}
		if (!this.stream) {
			if (relayed) {
				end();
			}
			return;
		}
		if (events > 0 && !this.answered) {
			measureAnswer(nowNanos);
			restartInterval(events, nowNanos);
		}
		int newEvents = events - this.measuredEvents;
		long elapsed = nowNanos - this.measuredNanos;
		if (newEvents >= EVENTS_PER_INTERVAL || (newEvents > 0 && elapsed >= MAX_INTERVAL_NANOS)) {
			if (!this.cold.getAsBoolean()) {
				this.capacity.interval((double) elapsed / newEvents, nowNanos);
			}
			restartInterval(events, nowNanos);
		}
	}

	private void restartInterval(int events, long nowNanos) {
		this.measuredEvents = events;
		this.measuredNanos = nowNanos;
	}

	private void measureAnswer(long nowNanos) {
		leaveUnanswered();
		if (!this.cold.getAsBoolean()) {
			this.capacity.answered(this.requestClass, nowNanos - this.sentNanos, nowNanos);
		}
	}

	private void leaveUnanswered() {
		this.answered = true;
		this.capacity.noLongerUnanswered(this);
	}

	/**
	 * Records that the answer is complete.
	 * @param sound whether it is the result of the usual work and no error
	 * @param nowNanos the current monotonic time, in nanoseconds
	 */
	public void completed(boolean sound, long nowNanos) {
		if (sound && !this.answered && !this.stream) {
			measureAnswer(nowNanos);
		}
		end();
	}

	/**
	 * Records that the upstream refused the attempt because it was full.
	 * @param nowNanos the current monotonic time, in nanoseconds
	 */
	public void refused(long nowNanos) {
		if (!this.answered && !this.cold.getAsBoolean()) {
			this.capacity.refused(nowNanos);
		}
		end();
	}

	/**
	 * Records that the attempt ended without an answer.
	 * @param nowNanos the current monotonic time, in nanoseconds
	 */
	public void abandoned(long nowNanos) {
		if (!this.answered && !this.cold.getAsBoolean()) {
			this.capacity.abandoned(nowNanos - this.sentNanos, this.expectedNanos, nowNanos);
		}
		end();
	}

	/**
	 * Ends the observation because the rest of the answer shows nothing of the upstream's
	 * capacity, such as when the caller delays it.
	 */
	public void discard() {
		end();
	}

	private void end() {
		if (!this.answered) {
			leaveUnanswered();
		}
		this.ended = true;
	}

}
