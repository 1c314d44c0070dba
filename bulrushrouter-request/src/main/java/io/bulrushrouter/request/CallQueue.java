package io.bulrushrouter.request;

import java.util.ArrayDeque;
import java.util.Deque;
import java.util.Optional;

import io.bulrushrouter.kernel.AttemptId;

/**
 * The order in which a sidecar's waiting attempts start. It is used from one thread.
 */
public interface CallQueue {

	/**
	 * Takes an attempt in.
	 * @param call the attempt
	 * @param nowNanos the time
	 * @return false if the attempt has to be refused
	 */
	boolean offer(QueuedCall call, long nowNanos);

	/**
	 * Takes out the attempt that starts next.
	 * @param nowNanos the time
	 * @return the attempt, or empty if none waits
	 */
	Optional<QueuedCall> next(long nowNanos);

	/**
	 * Takes out an attempt that will not start.
	 * @param attempt the attempt
	 */
	void remove(AttemptId attempt);

	/**
	 * Accounts for work that an engine did.
	 * @param spec the request that it was done for
	 * @param tokens the generated tokens
	 */
	default void served(RequestSpec spec, int tokens) {
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
	 */
	record QueuedCall(AttemptId attempt, RequestSpec spec) {
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
		public boolean offer(QueuedCall call, long nowNanos) {
			return this.calls.size() < this.capacity && this.calls.add(call);
		}

		@Override
		public Optional<QueuedCall> next(long nowNanos) {
			return Optional.ofNullable(this.calls.poll());
		}

		@Override
		public void remove(AttemptId attempt) {
			this.calls.removeIf((call) -> call.attempt().equals(attempt));
		}

	}

}
