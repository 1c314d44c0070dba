package io.bulrushrouter.gateway.forward;

import java.util.ArrayDeque;
import java.util.Deque;

import io.netty.handler.codec.http.HttpContent;
import io.netty.handler.codec.http.HttpObject;
import io.netty.handler.codec.http.HttpRequest;
import io.netty.util.ReferenceCountUtil;

/**
 * The messages of a caller in the order in which they were read. Each one passes this
 * queue, also if no request is being served, so that none overtakes those that wait.
 * Reading pauses at a limit, so that a caller is held up while its upstream does not
 * read, and after a malformed message, since nothing behind it can be understood.
 */
final class PipelinedMessages {

	private static final int MAX_MESSAGES = 16;

	/** Bytes at which reading pauses: some requests of usual length. */
	private static final int MAX_BYTES = 16 * 1024;

	/** Bytes counted for a message besides its body. */
	private static final int MESSAGE_OVERHEAD_BYTES = 512;

	private final MemoryLedger.Account account;

	private final Runnable onChange;

	private final Deque<HttpObject> messages = new ArrayDeque<>();

	private long bytes;

	private boolean malformed;

	/**
	 * Creates an empty queue.
	 * @param account the account of the connection
	 * @param onChange called when a message was added or taken
	 */
	PipelinedMessages(MemoryLedger.Account account, Runnable onChange) {
		this.account = account;
		this.onChange = onChange;
	}

	/**
	 * Adds a message, or discards one that comes after a malformed one.
	 * @param message the message
	 */
	void add(HttpObject message) {
		if (this.malformed) {
			ReferenceCountUtil.release(message);
			return;
		}
		this.malformed = message.decoderResult().isFailure();
		this.messages.add(message);
		count(sizeOf(message));
	}

	HttpObject poll() {
		HttpObject message = this.messages.poll();
		count(-sizeOf(message));
		return message;
	}

	boolean isEmpty() {
		return this.messages.isEmpty();
	}

	/**
	 * Returns whether more may be read from the caller.
	 * @return whether the queue is below its limits and nothing malformed was read
	 */
	boolean hasRoom() {
		return !this.malformed && this.messages.size() < MAX_MESSAGES && this.bytes < MAX_BYTES;
	}

	/**
	 * Discards all messages.
	 */
	void release() {
		this.messages.forEach(ReferenceCountUtil::release);
		this.messages.clear();
		this.bytes = 0;
		this.account.pipelined(0);
	}

	private static long sizeOf(HttpObject message) {
		long head = (message instanceof HttpRequest request) ? RequestDecoder.headBytes(request) : 0;
		int body = (message instanceof HttpContent content) ? content.content().readableBytes() : 0;
		return MESSAGE_OVERHEAD_BYTES + head + body;
	}

	private void count(long change) {
		this.bytes += change;
		this.account.pipelined(this.bytes);
		this.onChange.run();
	}

}
