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
 * A thread that owns some state. Others reach it only through its bounded ring; between
 * messages it runs a periodic tick.
 *
 * @param <T> the messages' type
 */
public final class Duty<T> implements AutoCloseable {

	private static final Logger logger = LoggerFactory.getLogger(Duty.class);

	private static final int BATCH_SIZE = 256;

	private static final Duration JOIN_TIMEOUT = Duration.ofSeconds(5);

	private final Ring<T> ring;

	private final Consumer<? super T> handler;

	private final Runnable tick;

	private final long tickNanos;

	private final Thread thread;

	private final AtomicBoolean parked = new AtomicBoolean();

	private volatile boolean running = true;

	private Duty(Builder<T> builder) {
		this.ring = Ring.ofCapacity(builder.capacity);
		this.handler = builder.handler;
		this.tick = builder.tick;
		this.tickNanos = builder.tickInterval.toNanos();
		this.thread = new Thread(this::run, builder.name);
		this.thread.setDaemon(true);
	}

	/**
	 * Returns a builder of a duty.
	 * @param name the thread's name
	 * @param handler takes each message, on the duty's thread
	 * @param <T> the messages' type
	 * @return the builder
	 */
	public static <T> Builder<T> builder(String name, Consumer<? super T> handler) {
		return new Builder<>(name, handler);
	}

	/**
	 * Hands a message to the duty.
	 * @param message the message
	 * @return whether it was taken; false if the ring is full
	 */
	public boolean offer(T message) {
		if (!this.ring.offer(message)) {
			return false;
		}
		wakeUp();
		return true;
	}

	/**
	 * Hands a message to the duty, waiting while its ring is full. Only threads that the
	 * duty itself never waits for may call this.
	 * @param message the message
	 * @throws BulrushException with {@link ErrorCode#RING_FULL} if the duty has ended, or
	 * if its ring is full and the duty itself calls
	 */
	public void put(T message) {
		while (!offer(message)) {
			if (!this.running || Thread.currentThread() == this.thread) {
				throw new BulrushException(ErrorCode.RING_FULL, this.thread.getName() + " cannot take more");
			}
			LockSupport.parkNanos(Builder.FULL_RING_PAUSE_NANOS);
		}
	}

	/**
	 * Returns how many messages wait.
	 * @return the count
	 */
	public int backlog() {
		return this.ring.size();
	}

	private void wakeUp() {
		if (this.parked.get() && this.parked.compareAndSet(true, false)) {
			LockSupport.unpark(this.thread);
		}
	}

	private void run() {
		long nextTick = System.nanoTime();
		while (this.running) {
			int handled = this.ring.drain(this::handle, BATCH_SIZE);
			long now = System.nanoTime();
			if (now - nextTick >= 0) {
				runSafely(this.tick);
				nextTick = now + this.tickNanos;
			}
			else if (handled == 0) {
				park(nextTick - now);
			}
		}
		this.ring.drain(this::handle, Integer.MAX_VALUE);
	}

	private void park(long nanos) {
		this.parked.set(true);
		if (this.ring.isEmpty() && this.running) {
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
			logger.error("duty {} failed on one message", this.thread.getName(), ex);
		}
	}

	/**
	 * Ends the duty after the messages that wait.
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
	 * @param <T> the messages' type
	 */
	public static final class Builder<T> {

		private static final int DEFAULT_CAPACITY = 65_536;

		private static final Duration DEFAULT_TICK_INTERVAL = Duration.ofMillis(10);

		private static final long FULL_RING_PAUSE_NANOS = 50_000;

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
		 * Sets the ring's size.
		 * @param capacity the most messages that wait
		 * @return this builder
		 */
		public Builder<T> capacity(int capacity) {
			this.capacity = capacity;
			return this;
		}

		/**
		 * Sets the periodic action.
		 * @param interval the time between two runs
		 * @param tick the action, on the duty's thread
		 * @return this builder
		 */
		public Builder<T> tick(Duration interval, Runnable tick) {
			this.tickInterval = interval;
			this.tick = tick;
			return this;
		}

		/**
		 * Starts the duty.
		 * @return the running duty
		 */
		public Duty<T> start() {
			Duty<T> duty = new Duty<>(this);
			duty.thread.start();
			return duty;
		}

	}

}
