package io.bulrushrouter.http;

import java.io.ByteArrayOutputStream;
import java.util.ArrayDeque;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInboundHandlerAdapter;
import io.netty.handler.codec.http.DefaultFullHttpResponse;
import io.netty.handler.codec.http.DefaultHttpRequest;
import io.netty.handler.codec.http.HttpContent;
import io.netty.handler.codec.http.HttpMethod;
import io.netty.handler.codec.http.HttpRequest;
import io.netty.handler.codec.http.HttpResponseStatus;
import io.netty.handler.codec.http.HttpUtil;
import io.netty.handler.codec.http.HttpVersion;
import io.netty.handler.codec.http.LastHttpContent;
import io.netty.util.ReferenceCountUtil;
import io.netty.util.concurrent.ScheduledFuture;

import io.bulrushrouter.http.grammar.MalformedMessageException;
import io.bulrushrouter.kernel.ErrorCode;

/**
 * Aggregates the complete requests of one connection and passes them to the handler one
 * at a time, in the order of their arrival.
 */
final class HttpServerHandler extends ChannelInboundHandlerAdapter {

	private final HttpLimits limits;

	private final HttpHandler handler;

	private final AtomicInteger openExchanges;

	private final ArrayDeque<Delivery> pendingDeliveries = new ArrayDeque<>();

	private HttpRequest head;

	private ByteArrayOutputStream body;

	private HttpExchange current;

	private ScheduledFuture<?> readTimer;

	HttpServerHandler(HttpLimits limits, HttpHandler handler, AtomicInteger openExchanges) {
		this.limits = limits;
		this.handler = handler;
		this.openExchanges = openExchanges;
	}

	@Override
	public void channelRead(ChannelHandlerContext context, Object message) {
		try {
			if (message instanceof HttpRequest request) {
				beginRequest(context, request);
			}
			if (message instanceof HttpContent content && this.head != null) {
				aggregate(context, content);
			}
		}
		finally {
			ReferenceCountUtil.release(message);
		}
	}

	private void beginRequest(ChannelHandlerContext context, HttpRequest request) {
		this.head = request;
		this.body = new ByteArrayOutputStream();
		if (request.decoderResult().isFailure()) {
			refuse(context, ErrorCode.BAD_REQUEST);
			return;
		}
		if (HttpUtil.getContentLength(request, 0L) > this.limits.maxBodyBytes()) {
			refuse(context, ErrorCode.TOO_LARGE);
			return;
		}
		if (HttpUtil.is100ContinueExpected(request)) {
			context.writeAndFlush(new DefaultFullHttpResponse(HttpVersion.HTTP_1_1, HttpResponseStatus.CONTINUE,
					Unpooled.EMPTY_BUFFER));
		}
		this.readTimer = context.executor()
			.schedule(() -> refuse(context, ErrorCode.TIMED_OUT_READING), this.limits.readTimeout().toMillis(),
					TimeUnit.MILLISECONDS);
	}

	private void aggregate(ChannelHandlerContext context, HttpContent content) {
		if (content.decoderResult().isFailure()) {
			refuse(context, ErrorCode.BAD_REQUEST);
			return;
		}
		if (this.body.size() + content.content().readableBytes() > this.limits.maxBodyBytes()) {
			refuse(context, ErrorCode.TOO_LARGE);
			return;
		}
		append(content.content());
		if (content instanceof LastHttpContent) {
			HttpExchange exchange = exchange(context, HttpUtil.isKeepAlive(this.head));
			resetRequest();
			deliver(exchange, () -> this.handler.handle(exchange));
		}
	}

	private void append(ByteBuf part) {
		byte[] bytes = new byte[part.readableBytes()];
		part.readBytes(bytes);
		this.body.writeBytes(bytes);
	}

	// Nothing more is read from the connection, which closes after the response.
	private void refuse(ChannelHandlerContext context, ErrorCode code) {
		HttpExchange exchange = exchange(context, false);
		resetRequest();
		context.channel().config().setAutoRead(false);
		deliver(exchange, () -> this.handler.refuse(exchange, code));
	}

	private HttpExchange exchange(ChannelHandlerContext context, boolean keepAlive) {
		var parts = new HttpExchange.RequestParts(this.head.method().name(), this.head.uri(), this.head.headers(),
				this.body.toByteArray(), keepAlive);
		this.openExchanges.incrementAndGet();
		return new HttpExchange(context.channel(), parts, this.limits.maxPendingBytes(), this::deliverNext,
				this.openExchanges::decrementAndGet);
	}

	private void resetRequest() {
		this.head = null;
		this.body = null;
		if (this.readTimer != null) {
			this.readTimer.cancel(false);
			this.readTimer = null;
		}
	}

	private void deliver(HttpExchange exchange, Runnable action) {
		Delivery delivery = new Delivery(exchange, action);
		if (this.current == null) {
			run(delivery);
		}
		else {
			this.pendingDeliveries.add(delivery);
		}
	}

	private void run(Delivery delivery) {
		this.current = delivery.exchange();
		delivery.action().run();
	}

	private void deliverNext() {
		this.current = null;
		Delivery delivery = this.pendingDeliveries.poll();
		if (delivery != null) {
			run(delivery);
		}
	}

	@Override
	public void channelInactive(ChannelHandlerContext context) {
		resetRequest();
		this.pendingDeliveries.forEach((delivery) -> delivery.exchange().connectionClosed());
		this.pendingDeliveries.clear();
		if (this.current != null) {
			this.current.connectionClosed();
		}
	}

	@Override
	public void exceptionCaught(ChannelHandlerContext context, Throwable cause) {
		if (!(cause instanceof MalformedMessageException)) {
			context.close();
			return;
		}
		if (this.head == null) {
			this.head = new DefaultHttpRequest(HttpVersion.HTTP_1_1, HttpMethod.GET, "/");
			this.body = new ByteArrayOutputStream();
		}
		refuse(context, ErrorCode.BAD_REQUEST);
	}

	private record Delivery(HttpExchange exchange, Runnable action) {
	}

}
