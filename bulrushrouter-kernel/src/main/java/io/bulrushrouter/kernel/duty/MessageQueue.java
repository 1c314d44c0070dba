package io.bulrushrouter.kernel.duty;

import java.util.Objects;
import java.util.function.Consumer;

import org.jctools.queues.MpscArrayQueue;

/**
 * A bounded queue from many threads to one.
 *
 * @param <T> the messages' type
 */
public final class MessageQueue<T> {

	private final MpscArrayQueue<T> queue;

	private MessageQueue(int capacity) {
		this.queue = new MpscArrayQueue<>(capacity);
	}

	/**
	 * Returns an empty ring.
	 * @param capacity the most messages it holds, rounded up to a power of two
	 * @param <T> the messages' type
	 * @return the ring
	 */
	public static <T> MessageQueue<T> ofCapacity(int capacity) {
		return new MessageQueue<>(capacity);
	}

	/**
	 * Adds a message unless the ring is full.
	 * @param message the message
	 * @return whether it was added
	 */
	public boolean offer(T message) {
		return this.queue.offer(Objects.requireNonNull(message));
	}

	/**
	 * Hands messages to the consumer. Only one thread may call this.
	 * @param consumer takes each message
	 * @param limit the most messages to hand over
	 * @return how many were handed over
	 */
	public int drain(Consumer<? super T> consumer, int limit) {
		int count = 0;
		while (count < limit) {
			T message = this.queue.poll();
			if (message == null) {
				return count;
			}
			consumer.accept(message);
			count++;
		}
		return count;
	}

	/**
	 * Tells whether no message waits.
	 * @return whether the ring is empty
	 */
	public boolean isEmpty() {
		return this.queue.isEmpty();
	}

	/**
	 * Returns how many messages wait.
	 * @return the count, approximate while others add
	 */
	public int size() {
		return this.queue.size();
	}

}
