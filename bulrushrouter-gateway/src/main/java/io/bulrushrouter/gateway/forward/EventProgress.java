package io.bulrushrouter.gateway.forward;

import java.time.Duration;
import java.util.Optional;

/**
 * Decides whether a stream is stalled although bytes arrive: its upstream has sent bytes
 * for as long as callers wait for an event and has not completed one. A stream that is
 * silent is not judged, however long it takes.
 */
final class EventProgress {

	/** A caller waits for an event for at least this long. */
	private static final Duration MIN_WAIT = Duration.ofSeconds(2);

	/** A caller waits for a first event for this many times the route's objective. */
	private static final int OBJECTIVES = 4;

	/** A caller waits for the next event for this many times the allowed pause. */
	private static final int PAUSES = 8;

	/**
	 * Part of the wait that a single pause between two reads counts for at most. An
	 * instance that is suspended in the middle of an event, this one included, is not
	 * taken for one that trickles bytes.
	 */
	private static final int MAX_PAUSE_DIVISOR = 4;

	private final long limitNanos;

	private int completed = -1;

	private long lastReadNanos;

	private long trickledNanos;

	/**
	 * Starts to watch one attempt.
	 * @param objective the objective for the first event
	 * @param allowedPause the longest pause between events for which a stream is on time
	 */
	EventProgress(Duration objective, Optional<Duration> allowedPause) {
		long nanos = Math.max(MIN_WAIT.toNanos(), OBJECTIVES * objective.toNanos());
		this.limitNanos = Math.max(nanos, PAUSES * allowedPause.map(Duration::toNanos).orElse(0L));
	}

	/**
	 * Records that bytes have arrived.
	 * @param completed the number of items (the head and the events) that are complete
	 * @param readingNanos the time on a clock that stands while the response is not read,
	 * in nanoseconds
	 * @return whether the stream is stalled
	 */
	boolean bytesArrived(int completed, long readingNanos) {
		if (completed != this.completed) {
			this.completed = completed;
			this.trickledNanos = 0;
		}
		else {
			this.trickledNanos += Math.min(readingNanos - this.lastReadNanos, this.limitNanos / MAX_PAUSE_DIVISOR);
		}
		this.lastReadNanos = readingNanos;
		return this.trickledNanos >= this.limitNanos;
	}

}
