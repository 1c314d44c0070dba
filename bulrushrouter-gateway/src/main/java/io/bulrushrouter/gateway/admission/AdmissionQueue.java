package io.bulrushrouter.gateway.admission;

import java.util.ArrayDeque;
import java.util.Deque;
import java.util.Optional;

/**
 * Queues the streams of one service that exceed its {@link ConcurrencyLimit}. Streams of
 * callers that return after a refusal or a broken stream are admitted before new ones;
 * within each group the order of arrival holds. Not thread-safe.
 *
 * @param <T> the type of a queued stream
 */
public final class AdmissionQueue<T> {

	/**
	 * Maximum number of queued new streams as a ratio of the limit. Further streams would
	 * time out in the queue.
	 */
	private static final double MAX_QUEUE_RATIO = 1;

	private final ConcurrencyLimit limit;

	private final Deque<T> returningStreams = new ArrayDeque<>();

	private final Deque<T> newStreams = new ArrayDeque<>();

	/**
	 * Creates an empty queue.
	 * @param limit the limit of streams in flight
	 */
	public AdmissionQueue(ConcurrencyLimit limit) {
		this.limit = limit;
	}

	/**
	 * Admits a stream, queues it or refuses it.
	 * @param stream the stream
	 * @param returning whether its caller returned after a refusal or a broken stream;
	 * such a stream is never refused
	 * @return the decision
	 */
	public Decision offer(T stream, boolean returning) {
		Decision decision = decide(returning);
		switch (decision) {
			case ADMITTED -> this.limit.started();
			case WAITING -> (returning ? this.returningStreams : this.newStreams).addLast(stream);
			case REFUSED -> {
			}
		}
		return decision;
	}

	/**
	 * Returns what would be decided on a stream now.
	 * @param returning whether its caller returned after a refusal or a broken stream
	 * @return the decision, without effect
	 */
	public Decision decide(boolean returning) {
		if (this.limit.hasCapacity() && (returning || waiting() == 0)) {
			return Decision.ADMITTED;
		}
		boolean full = this.newStreams.size() >= MAX_QUEUE_RATIO * this.limit.limit();
		return (full && !returning) ? Decision.REFUSED : Decision.WAITING;
	}

	/**
	 * Admits the next queued stream if the limit allows another one in flight.
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
	 * Removes a stream from the queue.
	 * @param stream the stream
	 * @return whether it was still waiting
	 */
	public boolean withdraw(T stream) {
		return this.newStreams.remove(stream) || this.returningStreams.remove(stream);
	}

	/**
	 * Returns the number of queued streams.
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
	 * The admission decision for a stream.
	 */
	public enum Decision {

		/** The stream may be sent to an upstream. */
		ADMITTED,

		/** The stream is queued. */
		WAITING,

		/** The queue is full. */
		REFUSED

	}

}
