package io.bulrushrouter.gateway.admission;

import java.util.ArrayDeque;
import java.util.Deque;
import java.util.Optional;

/**
 * Streams of one service that wait for room. Those whose caller came back after a refusal
 * go before new ones; each kind in the order of arrival. Not thread-safe.
 *
 * @param <T> what waits
 */
public final class AdmissionQueue<T> {

	/** Streams that wait at most, in parts of the limit: more would wait for nothing. */
	private static final double MAX_QUEUE_RATIO = 1;

	private final ConcurrencyLimit limit;

	private final Deque<T> returningStreams = new ArrayDeque<>();

	private final Deque<T> newStreams = new ArrayDeque<>();

	/**
	 * Creates a line.
	 * @param limit tells whether there is room
	 */
	public AdmissionQueue(ConcurrencyLimit limit) {
		this.limit = limit;
	}

	/**
	 * Asks for room.
	 * @param stream the stream
	 * @param returning whether its caller came back after a refusal or a broken stream
	 * @return what becomes of it now
	 */
	public Decision offer(T stream, boolean returning) {
		if (this.limit.hasCapacity() && (returning || waiting() == 0)) {
			this.limit.started();
			return Decision.ADMITTED;
		}
		if (!returning && this.newStreams.size() >= MAX_QUEUE_RATIO * this.limit.limit()) {
			return Decision.REFUSED;
		}
		(returning ? this.returningStreams : this.newStreams).addLast(stream);
		return Decision.WAITING;
	}

	/**
	 * Admits the next stream if there is room.
	 * @return the stream, or empty
	 */
	public Optional<T> admitNext() {
		if (!this.limit.hasCapacity() || waiting() == 0) {
			return Optional.empty();
		}
		this.limit.started();
		return Optional
			.of(this.returningStreams.isEmpty() ? this.newStreams.pollFirst() : this.returningStreams.pollFirst());
	}

	/**
	 * Takes a stream out of the line.
	 * @param stream the stream
	 * @return whether it was still waiting
	 */
	public boolean withdraw(T stream) {
		return this.newStreams.remove(stream) || this.returningStreams.remove(stream);
	}

	/**
	 * Returns the streams that wait.
	 * @return the number
	 */
	public int waiting() {
		return this.newStreams.size() + this.returningStreams.size();
	}

	/**
	 * Returns the limit.
	 * @return the limit
	 */
	public ConcurrencyLimit limit() {
		return this.limit;
	}

	/**
	 * What becomes of a stream that asks for room.
	 */
	public enum Decision {

		/** It is sent on. */
		ADMITTED,

		/** It waits for room. */
		WAITING,

		/** It would wait for nothing. */
		REFUSED

	}

}
