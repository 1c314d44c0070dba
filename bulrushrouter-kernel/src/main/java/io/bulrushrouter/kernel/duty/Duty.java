package io.bulrushrouter.kernel.duty;

import java.time.Duration;
import java.util.concurrent.atomic.AtomicBoolean;
import java.util.concurrent.locks.LockSupport;
import java.util.function.Consumer;

import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

import io.bulrushrouter.kernel.BulrushException;
import io.bulrushrouter.kernel.ErrorCode;

/**
 * A single-threaded actor. Its thread owns some state, which other threads reach only by
 * messages in a bounded queue, and runs a periodic action between messages.
 *
 * @param <T> the type of the messages
 */
public final class Duty<T> implements AutoCloseable {

	private static final Logger logger = LoggerFactory.getLogger(Duty.class);

	private static final int BATCH_SIZE = 256;

	private static final Duration JOIN_TIMEOUT = Duration.ofSeconds(5);

	private final MessageQueue<T> queue;

	private final Consumer<? super T> handler;

	private final Runnable tick;

	private final long tickNanos;

	private final Thread thread;

	private final AtomicBoolean parked = new AtomicBoolean();

	private volatile boolean running = true;

	private Duty(Builder<T> builder) {
		this.queue = MessageQueue.ofCapacity(builder.capacity);
		this.handler = builder.handler;
		this.tick = builder.tick;
		this.tickNanos = builder.tickInterval.toNanos();
		this.thread = new Thread(this::run, builder.name);
		this.thread.setDaemon(true);
	}

	/**
	 * Returns a builder of a duty.
	 * @param name the name of the thread
	 * @param handler handles each message, on the thread of the duty
	 * @param <T> the type of the messages
	 * @return the builder
	 */
	public static <T> Builder<T> builder(String name, Consumer<? super T> handler) {
		return new Builder<>(name, handler);
	}

	/**
	 * Adds a message to the queue, without waiting.
	 * @param message the message
	 * @return whether it was added; {@code false} if the queue is full
	 */
	public boolean offer(T message) {
		if (!this.queue.offer(message)) {
			return false;
		}
		wakeUp();
		return true;
	}

	/**
	 * Adds a message to the queue and waits while the queue is full. To avoid a deadlock,
	 * threads for which the duty itself waits must not call this.
	 * @param message the message
	 * @throws BulrushException with {@link ErrorCode#RING_FULL} if the queue is full and
	 * the duty has been closed or the caller is the thread of the duty
	 */
	public void put(T message) {
		while (!offer(message)) {
			if (!this.running || Thread.currentThread() == this.thread) {
				throw new BulrushException(ErrorCode.RING_FULL,
						this.thread.getName() + " cannot accept messages: its queue is full");
			}
			LockSupport.parkNanos(Builder.FULL_QUEUE_PAUSE_NANOS);
		}
	}

	/**
	 * Returns the number of messages in the queue.
	 * @return the number of messages, approximate while others are added
	 */
	public int backlog() {
		return this.queue.size();
	}

	private void wakeUp() {
		if (this.parked.get() && this.parked.compareAndSet(true, false)) {
			LockSupport.unpark(this.thread);
		}
	}

	private void run() {
		long nextTick = System.nanoTime();
		while (this.running) {
			int handled = this.queue.drain(this::handle, BATCH_SIZE);
			long now = System.nanoTime();
			if (now - nextTick >= 0) {
				runSafely(this.tick);
				nextTick = now + this.tickNanos;
			}
			else if (handled == 0) {
				park(nextTick - now);
			}
		}
		this.queue.drain(this::handle, Integer.MAX_VALUE);
	}

	private void park(long nanos) {
		this.parked.set(true);
		if (this.queue.isEmpty() && this.running) {
			LockSupport.parkNanos(this, nanos);
		}
		this.parked.set(false);
	}

	private void handle(T message) {
		runSafely(() -> this.handler.accept(message));
	}

	private void runSafely(Runnable action) {
		try {
			action.run();
		}
		catch (RuntimeException ex) {
			logger.error("duty {}: a message handler or the periodic action failed", this.thread.getName(), ex);
		}
	}

	/**
	 * Stops the thread after it has handled the messages in the queue. Waits up to 5
	 * seconds for the thread to end, unless the thread itself calls this.
	 */
	@Override
	public void close() {
		this.running = false;
		LockSupport.unpark(this.thread);
		if (Thread.currentThread() != this.thread) {
			join();
		}
	}

	private void join() {
		try {
			this.thread.join(JOIN_TIMEOUT.toMillis());
		}
		catch (InterruptedException ex) {
			Thread.currentThread().interrupt();
		}
	}

	/**
	 * Builds a {@link Duty}.
	 *
	 * @param <T> the type of the messages
	 */
	public static final class Builder<T> {

		private static final int DEFAULT_CAPACITY = 65_536;

		private static final Duration DEFAULT_TICK_INTERVAL = Duration.ofMillis(10);

		private static final long FULL_QUEUE_PAUSE_NANOS = 50_000;

		private final String name;

		private final Consumer<? super T> handler;

		private int capacity = DEFAULT_CAPACITY;

		private Duration tickInterval = DEFAULT_TICK_INTERVAL;

		private Runnable tick = () -> {
		};

		private Builder(String name, Consumer<? super T> handler) {
			this.name = name;
			this.handler = handler;
		}

		/**
		 * Sets the capacity of the queue.
		 * @param capacity the maximum number of messages, rounded up to a power of two
		 * @return this builder
		 */
		public Builder<T> capacity(int capacity) {
			this.capacity = capacity;
			return this;
		}

		/**
		 * Sets the periodic action.
		 * @param interval the time between two runs
		 * @param tick the action, which runs on the thread of the duty
		 * @return this builder
		 */
		public Builder<T> tick(Duration interval, Runnable tick) {
			this.tickInterval = interval;
			this.tick = tick;
			return this;
		}

		/**
		 * Creates a duty and starts its thread.
		 * @return the running duty
		 */
		public Duty<T> start() {
			Duty<T> duty = new Duty<>(this);
			duty.thread.start();
			return duty;
		}

	}

}
