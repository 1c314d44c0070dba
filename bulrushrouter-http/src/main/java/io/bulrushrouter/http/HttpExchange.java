package io.bulrushrouter.http;

import java.util.Optional;
import java.util.concurrent.atomic.AtomicReference;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFutureListener;
import io.netty.handler.codec.http.DefaultFullHttpResponse;
import io.netty.handler.codec.http.DefaultHttpContent;
import io.netty.handler.codec.http.DefaultHttpResponse;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpHeaderValues;
import io.netty.handler.codec.http.HttpHeaders;
import io.netty.handler.codec.http.HttpResponse;
import io.netty.handler.codec.http.HttpResponseStatus;
import io.netty.handler.codec.http.HttpVersion;
import io.netty.handler.codec.http.LastHttpContent;

/**
 * A received request and its response, which may be sent from any thread. A response is
 * either one call of {@link #respond}, or {@link #start}, any number of {@link #write},
 * and {@link #end} or {@link #abort}.
 */
public final class HttpExchange {

	private final Channel channel;

	private final String method;

	private final String target;

	private final HttpHeaders headers;

	private final byte[] body;

	private final boolean keepAlive;

	private final int maxPendingBytes;

	private final Runnable onFinished;

	private final AtomicReference<Runnable> onSettled;

	private volatile boolean done;

	private volatile Runnable closeListener = () -> {
	};

	HttpExchange(Channel channel, RequestParts parts, int maxPendingBytes, Runnable onFinished, Runnable onSettled) {
		this.channel = channel;
		this.method = parts.method();
		this.target = parts.target();
		this.headers = parts.headers();
		this.body = parts.body();
		this.keepAlive = parts.keepAlive();
		this.maxPendingBytes = maxPendingBytes;
		this.onFinished = onFinished;
		this.onSettled = new AtomicReference<>(onSettled);
	}

	/**
	 * Returns the HTTP method.
	 * @return the method, such as {@code POST}
	 */
	public String method() {
		return this.method;
	}

	/**
	 * Returns the path and query as received.
	 * @return the request target
	 */
	public String target() {
		return this.target;
	}

	/**
	 * Returns the path without the query.
	 * @return the path
	 */
	public String path() {
		int query = this.target.indexOf('?');
		return (query < 0) ? this.target : this.target.substring(0, query);
	}

	/**
	 * Finds a header.
	 * @param name the name of the header, in any case
	 * @return the first value of the header, or empty
	 */
	public Optional<String> header(String name) {
		return Optional.ofNullable(this.headers.get(name));
	}

	/**
	 * Returns the body.
	 * @return the bytes
	 */
	public byte[] body() {
		return this.body;
	}

	/**
	 * Sets the action to run when the connection closes before the response is complete.
	 * @param listener the action, which runs at most once; on an event loop thread, or on
	 * the calling thread if the connection is closed already
	 */
	public void onClosed(Runnable listener) {
		this.closeListener = listener;
		if (!this.channel.isActive()) {
			connectionClosed();
		}
	}

	/**
	 * Sends a complete response. Does nothing if the exchange is complete.
	 * @param reply the response
	 */
	public void respond(HttpReply reply) {
		if (this.done) {
			return;
		}
		ByteBuf content = Unpooled.wrappedBuffer(reply.body());
		HttpResponse response = new DefaultFullHttpResponse(HttpVersion.HTTP_1_1,
				HttpResponseStatus.valueOf(reply.status()), content);
		response.headers().set(HttpHeaderNames.CONTENT_LENGTH, reply.body().length);
		setHeaders(response, reply);
		finish(response);
	}

	/**
	 * Sends the head of a streamed response.
	 * @param head the status, content type and headers
	 */
	public void start(HttpReply head) {
		if (this.done) {
			return;
		}
		HttpResponse response = new DefaultHttpResponse(HttpVersion.HTTP_1_1,
				HttpResponseStatus.valueOf(head.status()));
		response.headers().set(HttpHeaderNames.TRANSFER_ENCODING, HttpHeaderValues.CHUNKED);
		setHeaders(response, head);
		this.channel.write(response);
	}

	/**
	 * Sends a part of the body of a streamed response.
	 * @param bytes the part, which is not copied and must not be changed afterwards
	 * @return {@code false} if the exchange is complete or its connection closed, or if
	 * more bytes are pending than the limit allows because the client reads too slowly
	 */
	public boolean write(byte[] bytes) {
		if (this.done) {
			return false;
		}
		this.channel.writeAndFlush(new DefaultHttpContent(Unpooled.wrappedBuffer(bytes)), this.channel.voidPromise());
		return pendingBytes() <= this.maxPendingBytes;
	}

	private long pendingBytes() {
		var buffer = this.channel.unsafe().outboundBuffer();
		return (buffer != null) ? buffer.totalPendingWriteBytes() : 0;
	}

	/**
	 * Completes a streamed response.
	 */
	public void end() {
		if (!this.done) {
			finish(LastHttpContent.EMPTY_LAST_CONTENT);
		}
	}

	/**
	 * Closes the connection without the last chunk, so that the client can tell that the
	 * streamed response is incomplete.
	 */
	public void abort() {
		this.done = true;
		this.channel.close();
		settled();
	}

	private void finish(Object last) {
		this.done = true;
		var written = this.channel.writeAndFlush(last);
		written.addListener((future) -> settled());
		if (this.keepAlive) {
			this.channel.eventLoop().execute(this.onFinished);
		}
		else {
			written.addListener(ChannelFutureListener.CLOSE);
		}
	}

	private void setHeaders(HttpResponse response, HttpReply reply) {
		response.headers().set(HttpHeaderNames.CONTENT_TYPE, reply.contentType());
		reply.headers().forEach((name, value) -> response.headers().set(name, value));
		if (!this.keepAlive) {
			response.headers().set(HttpHeaderNames.CONNECTION, HttpHeaderValues.CLOSE);
		}
	}

	void connectionClosed() {
		settled();
		if (!this.done) {
			this.done = true;
			this.closeListener.run();
		}
	}

	// Runs the callback at most once: the last write may fail after the connection
	// closed.
	private void settled() {
		Optional.ofNullable(this.onSettled.getAndSet(null)).ifPresent(Runnable::run);
	}

	record RequestParts(String method, String target, HttpHeaders headers, byte[] body, boolean keepAlive) {
	}

}
