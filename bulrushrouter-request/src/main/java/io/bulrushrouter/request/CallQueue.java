package io.bulrushrouter.request;

import java.util.ArrayDeque;
import java.util.Deque;
import java.util.List;
import java.util.Optional;
import java.util.OptionalLong;

import io.bulrushrouter.kernel.AttemptId;

/**
 * Queue that decides the order in which a sidecar's waiting attempts start. It is used
 * from one thread.
 */
public interface CallQueue {

	/**
	 * Adds an attempt.
	 * @param call the attempt
	 * @param nowNanos the current time, in nanoseconds
	 * @return the attempts to reject now, which may be this one or queued ones
	 */
	List<Refusal> offer(QueuedCall call, long nowNanos);

	/**
	 * Removes and returns the attempt that starts next.
	 * @param nowNanos the current time, in nanoseconds
	 * @return the attempt, or empty if none is queued
	 */
	Optional<QueuedCall> poll(long nowNanos);

	/**
	 * Removes an attempt that will not start.
	 * @param attempt the attempt
	 */
	void remove(AttemptId attempt);

	/**
	 * Accounts for work of the engine.
	 * @param attempt the attempt that the work was done for
	 * @param tokens the number of generated tokens
	 */
	default void served(AttemptId attempt, int tokens) {
	}

	/**
	 * Records the end of a started attempt.
	 * @param attempt the attempt
	 * @param nowNanos the current time, in nanoseconds
	 */
	default void finished(AttemptId attempt, long nowNanos) {
	}

	/**
	 * Creates a queue that starts attempts in the order of their arrival.
	 * @param capacity the maximum number of queued attempts
	 * @return the queue
	 */
	static CallQueue ofFifo(int capacity) {
		return new Fifo(capacity);
	}

	/**
	 * A queued attempt.
	 *
	 * @param attempt the attempt
	 * @param spec the request
	 * @param deadlineNanos the attempt's deadline, in nanoseconds
	 */
	record QueuedCall(AttemptId attempt, RequestSpec spec, long deadlineNanos) {
	}

	/**
	 * An attempt that has to be rejected before it starts.
	 *
	 * @param attempt the attempt
	 * @param retryAfterMillis when a retry should find capacity, in milliseconds; empty
	 * if unknown
	 */
	record Refusal(AttemptId attempt, OptionalLong retryAfterMillis) {
	}

	/**
	 * A first-in, first-out queue.
	 */
	final class Fifo implements CallQueue {

		private final Deque<QueuedCall> calls = new ArrayDeque<>();

		private final int capacity;

		private Fifo(int capacity) {
			this.capacity = capacity;
		}

		@Override
		public List<Refusal> offer(QueuedCall call, long nowNanos) {
			if (this.calls.size() >= this.capacity) {
				return List.of(new Refusal(call.attempt(), OptionalLong.empty()));
			}
			this.calls.add(call);
			return List.of();
		}

		@Override
		public Optional<QueuedCall> poll(long nowNanos) {
			return Optional.ofNullable(this.calls.poll());
		}

		@Override
		public void remove(AttemptId attempt) {
			this.calls.removeIf((call) -> call.attempt().equals(attempt));
		}

	}

}
