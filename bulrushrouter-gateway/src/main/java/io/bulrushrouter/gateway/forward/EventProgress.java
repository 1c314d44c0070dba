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
	 * Reads without any part of an event, such as parts of chunk sizes, before they are
	 * judged. The rest of a chunk's framing may arrive with the last event, in up to two
	 * reads, and the next event follows in its own time.
	 */
	private static final int MIN_FRUITLESS_READS = 4;

	private final long limitNanos;

	private int completed = -1;

	private int fruitlessReads;

	private boolean partial;

	private long sinceNanos;

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
	 * @param partial whether a part of the next event has arrived
	 * @param readingNanos the time on a clock that stands while the response is not read,
	 * in nanoseconds
	 * @return whether the stream is stalled
	 */
	boolean bytesArrived(int completed, boolean partial, long readingNanos) {
		boolean begins = this.fruitlessReads == 0 || partial != this.partial;
		if (completed != this.completed || begins) {
			this.sinceNanos = readingNanos;
			this.fruitlessReads = 0;
		}
		this.completed = completed;
		this.partial = partial;
		this.fruitlessReads++;
		boolean judged = partial || this.fruitlessReads >= MIN_FRUITLESS_READS;
		return judged && readingNanos - this.sinceNanos >= this.limitNanos;
	}

}
