package io.bulrushrouter.gateway.forward;

import java.util.function.LongSupplier;
import java.util.function.Supplier;

import io.netty.channel.Channel;
import io.netty.channel.ChannelFuture;

/**
 * What waits to be written to one caller. Its depth is bounded by the allowance of the
 * memory ledger instead of Netty's fixed water marks, because the bound is shared by all
 * connections.
 */
final class CallerQueue {

	/** Memory of a queued message besides its bytes, as Netty estimates it. */
	private static final int MESSAGE_OVERHEAD_BYTES = 96;

	private final Channel channel;

	private final MemoryLedger.Account account;

	private final LongSupplier nanoClock;

	private final Runnable onWritable;

	private long bytes;

	private boolean full;

	/**
	 * Creates an empty queue.
	 * @param channel the connection
	 * @param account the account of the connection
	 * @param nanoClock the monotonic clock, in nanoseconds
	 * @param onWritable runs when the caller has read half of the allowance of a queue
	 * that was full
	 */
	CallerQueue(Channel channel, MemoryLedger.Account account, LongSupplier nanoClock, Runnable onWritable) {
		this.channel = channel;
		this.account = account;
		this.nanoClock = nanoClock;
		this.onWritable = onWritable;
	}

	/**
	 * Adds a message, which is sent with the next one that is written.
	 * @param message the message
	 * @param length the number of its bytes
	 */
	void add(Object message, int length) {
		enqueue(length, () -> this.channel.write(message));
	}

	/**
	 * Writes a message and those that were added before.
	 * @param message the message
	 * @param length the number of its bytes
	 */
	void write(Object message, int length) {
		enqueue(length, () -> this.channel.writeAndFlush(message));
	}

	private void enqueue(int length, Supplier<ChannelFuture> write) {
		int size = length + MESSAGE_OVERHEAD_BYTES;
		this.bytes += size;
		ChannelFuture result = write.get();
		if (result.isDone()) {
			this.bytes -= size;
		}
		else {
			result.addListener((written) -> taken(size, written.isSuccess()));
		}
		this.account.queued(this.bytes, result.isDone(), this.nanoClock.getAsLong());
	}

	private void taken(int size, boolean success) {
		this.bytes -= size;
		this.account.queued(this.bytes, success, this.nanoClock.getAsLong());
		if (success && this.full && this.bytes <= this.account.allowance() / 2) {
			this.full = false;
			this.onWritable.run();
		}
	}

	/**
	 * Returns whether more may be queued. Once it has returned {@code false} it does so
	 * until the callback has run.
	 * @return whether the queue is within its allowance
	 */
	boolean writable() {
		// Once full, it stays so until the callback runs: the allowance may grow
		// meanwhile.
		this.full |= this.bytes > this.account.allowance();
		return !this.full;
	}

	/**
	 * Returns whether the caller has read everything.
	 * @return whether nothing waits
	 */
	boolean isEmpty() {
		return this.bytes == 0;
	}

	/**
	 * Returns for how long the caller has read nothing of what waits for it.
	 * @param nowNanos the time on the monotonic clock, in nanoseconds
	 * @return the time in nanoseconds, 0 if nothing waits
	 */
	long unreadNanos(long nowNanos) {
		return isEmpty() ? 0 : nowNanos - this.account.unreadSinceNanos();
	}

	long bytes() {
		return this.bytes;
	}

}
