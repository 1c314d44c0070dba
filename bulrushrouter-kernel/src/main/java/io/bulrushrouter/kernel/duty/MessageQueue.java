package io.bulrushrouter.kernel.duty;

import java.util.Objects;
import java.util.function.Consumer;

import org.jctools.queues.MpscArrayQueue;

/**
 * A bounded lock-free queue with many producers and a single consumer.
 *
 * @param <T> the type of the messages
 */
public final class MessageQueue<T> {

	private final MpscArrayQueue<T> queue;

	private MessageQueue(int capacity) {
		this.queue = new MpscArrayQueue<>(capacity);
	}

	/**
	 * Returns an empty queue.
	 * @param capacity the maximum number of messages, rounded up to a power of two
	 * @param <T> the type of the messages
	 * @return the queue
	 */
	public static <T> MessageQueue<T> ofCapacity(int capacity) {
		return new MessageQueue<>(capacity);
	}

	/**
	 * Adds a message unless the queue is full.
	 * @param message the message
	 * @return whether it was added
	 */
	public boolean offer(T message) {
		return this.queue.offer(Objects.requireNonNull(message));
	}

	/**
	 * Removes messages and passes them to a consumer. Only one thread may call this.
	 * @param consumer accepts each message
	 * @param limit the maximum number of messages to remove
	 * @return the number of messages removed
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
	 * Returns whether the queue is empty.
	 * @return whether the queue is empty
	 */
	public boolean isEmpty() {
		return this.queue.isEmpty();
	}

	/**
	 * Returns the number of messages in the queue.
	 * @return the number of messages, approximate while others are added
	 */
	public int size() {
		return this.queue.size();
	}

}
