package io.bulrushrouter.gateway.forward;

import java.util.ArrayDeque;
import java.util.Deque;
import java.util.function.Consumer;

import io.netty.handler.codec.http.HttpContent;
import io.netty.handler.codec.http.HttpObject;
import io.netty.util.ReferenceCountUtil;

/**
 * Messages of pipelined requests that wait while a request is served. Reading pauses at a
 * limit, so that a caller is held up while its upstream does not read.
 */
final class PipelinedMessages {

	private static final int MAX_MESSAGES = 16;

	/** Bytes at which reading pauses: some requests of usual length. */
	private static final int MAX_BYTES = 16 * 1024;

	/** Bytes counted for a message besides its body. */
	private static final int MESSAGE_OVERHEAD_BYTES = 512;

	private final MemoryLedger.Account account;

	private final Consumer<Boolean> reading;

	private final Deque<HttpObject> messages = new ArrayDeque<>();

	private long bytes;

	/**
	 * Creates an empty queue.
	 * @param account the account of the connection
	 * @param reading pauses or resumes reading from the caller
	 */
	PipelinedMessages(MemoryLedger.Account account, Consumer<Boolean> reading) {
		this.account = account;
		this.reading = reading;
	}

	void add(HttpObject message) {
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
	 * Discards all messages.
	 */
	void release() {
		this.messages.forEach(ReferenceCountUtil::release);
		this.messages.clear();
	}

	private static long sizeOf(HttpObject message) {
		int body = (message instanceof HttpContent content) ? content.content().readableBytes() : 0;
		return MESSAGE_OVERHEAD_BYTES + body;
	}

	private void count(long change) {
		this.bytes += change;
		this.account.pipelined(this.bytes);
		this.reading.accept(this.messages.size() < MAX_MESSAGES && this.bytes < MAX_BYTES);
	}

}
