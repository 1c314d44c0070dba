package io.bulrushrouter.request;

import java.util.ArrayDeque;
import java.util.Deque;
import java.util.List;
import java.util.Optional;
import java.util.OptionalLong;

import io.bulrushrouter.kernel.AttemptId;

/**
 * The order in which a sidecar's waiting attempts start. It is used from one thread.
 */
public interface CallQueue {

	/**
	 * Takes an attempt in.
	 * @param call the attempt
	 * @param nowNanos the time
	 * @return the attempts that have to be refused now, which may be this one or others
	 * that waited
	 */
	List<Refusal> offer(QueuedCall call, long nowNanos);

	/**
	 * Takes out the attempt that starts next.
	 * @param nowNanos the time
	 * @return the attempt, or empty if none waits
	 */
	Optional<QueuedCall> poll(long nowNanos);

	/**
	 * Takes out an attempt that will not start.
	 * @param attempt the attempt
	 */
	void remove(AttemptId attempt);

	/**
	 * Accounts for work that an engine did.
	 * @param attempt the attempt that it was done for
	 * @param tokens the generated tokens
	 */
	default void served(AttemptId attempt, int tokens) {
	}

	/**
	 * Notes that an attempt that was started has ended.
	 * @param attempt the attempt
	 * @param nowNanos the time
	 */
	default void finished(AttemptId attempt, long nowNanos) {
	}

	/**
	 * Returns a queue that starts attempts in the order in which they came.
	 * @param capacity the most attempts that wait
	 * @return the queue
	 */
	static CallQueue ofFifo(int capacity) {
		return new Fifo(capacity);
	}

	/**
	 * An attempt that waits.
	 *
	 * @param attempt the attempt
	 * @param spec what to run
	 * @param deadlineNanos when its caller gives up
	 */
	record QueuedCall(AttemptId attempt, RequestSpec spec, long deadlineNanos) {
	}

	/**
	 * An attempt that has to be refused before it starts.
	 *
	 * @param attempt the attempt
	 * @param retryAfterMillis when its caller should find room, in milliseconds; empty if
	 * not known
	 */
	record Refusal(AttemptId attempt, OptionalLong retryAfterMillis) {
	}

	/**
	 * First in, first out.
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
