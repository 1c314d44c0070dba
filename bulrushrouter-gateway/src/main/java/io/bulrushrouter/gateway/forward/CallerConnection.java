package io.bulrushrouter.gateway.forward;

import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.util.ArrayDeque;
import java.util.Deque;
import java.util.Optional;
import java.util.concurrent.TimeUnit;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.ByteBufUtil;
import io.netty.buffer.Unpooled;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFutureListener;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInboundHandlerAdapter;
import io.netty.channel.ChannelOption;
import io.netty.channel.socket.SocketChannel;
import io.netty.handler.codec.DecoderException;
import io.netty.handler.codec.http.DefaultFullHttpResponse;
import io.netty.handler.codec.http.DefaultHttpContent;
import io.netty.handler.codec.http.DefaultHttpResponse;
import io.netty.handler.codec.http.HttpContent;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpHeaderValues;
import io.netty.handler.codec.http.HttpHeaders;
import io.netty.handler.codec.http.HttpMethod;
import io.netty.handler.codec.http.HttpObject;
import io.netty.handler.codec.http.HttpRequest;
import io.netty.handler.codec.http.HttpResponse;
import io.netty.handler.codec.http.HttpResponseStatus;
import io.netty.handler.codec.http.HttpUtil;
import io.netty.handler.codec.http.HttpVersion;
import io.netty.handler.codec.http.LastHttpContent;
import io.netty.handler.codec.http.TooLongHttpHeaderException;
import io.netty.handler.codec.http.TooLongHttpLineException;
import io.netty.util.ReferenceCountUtil;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

import io.bulrushrouter.kernel.ErrorCode;
import io.bulrushrouter.kernel.Verdict;

/**
 * Connection of one caller. Reads the requests one after the other, enforces the limits
 * on time and size, and writes the responses.
 */
final class CallerConnection extends ChannelInboundHandlerAdapter implements ResponseWriter {

	private static final Logger logger = LoggerFactory.getLogger(CallerConnection.class);

	/**
	 * Messages of pipelined requests that are buffered while a request is served; reading
	 * pauses at this number.
	 */
	private static final int MAX_PIPELINED_MESSAGES = 16;

	/**
	 * How long a closing connection is still read: closing with unread bytes would send a
	 * reset, which can discard the response.
	 */
	private static final long LINGER_MILLIS = 400;

	private final GatewayContext context;

	private final AdmissionHandler admissionHandler;

	private final StrictRequestDecoder decoder;

	private final Deque<HttpObject> pipelinedMessages = new ArrayDeque<>();

	private Channel channel;

	private HttpRequest head;

	private ByteArrayOutputStream body;

	private long reservedBytes;

	private long arrivedNanos;

	private long waitingSinceNanos;

	private Exchange exchange;

	private boolean responding;

	private boolean keepAlive = true;

	private boolean closing;

	CallerConnection(GatewayContext context, AdmissionHandler admissionHandler, StrictRequestDecoder decoder) {
		this.context = context;
		this.admissionHandler = admissionHandler;
		this.decoder = decoder;
	}

	@Override
	public void channelActive(ChannelHandlerContext handlerContext) {
		this.channel = handlerContext.channel();
		this.waitingSinceNanos = this.context.nowNanos();
	}

	/**
	 * Refuses a request that takes too long to arrive and closes a connection that is
	 * idle.
	 * @param nowNanos the time on the monotonic clock, in nanoseconds
	 */
	void sweep(long nowNanos) {
		if (this.responding || this.closing || this.channel == null) {
			return;
		}
		long waited = nowNanos - this.waitingSinceNanos;
		if (this.head != null) {
			if (waited > this.context.limits().idleTimeout().toNanos()) {
				refuse(408, ErrorCode.TIMED_OUT_READING, "the request body did not arrive in time");
			}
		}
		else if (this.decoder.headIncomplete()) {
			if (waited > this.context.limits().headerTimeout().toNanos()) {
				refuse(408, ErrorCode.TIMED_OUT_READING, "the request head did not arrive in time");
			}
		}
		else if (waited > this.context.limits().idleTimeout().toNanos() || this.context.refusingRequests()) {
			this.closing = true;
			this.channel.close();
		}
	}

	@Override
	public void channelRead(ChannelHandlerContext handlerContext, Object message) {
		if (this.closing) {
			ReferenceCountUtil.release(message);
			return;
		}
		if (this.responding) {
			this.pipelinedMessages.add((HttpObject) message);
			if (this.pipelinedMessages.size() >= MAX_PIPELINED_MESSAGES) {
				this.channel.config().setAutoRead(false);
			}
			return;
		}
		process((HttpObject) message);
	}

	private void process(HttpObject message) {
		if (message.decoderResult().isFailure()) {
			ReferenceCountUtil.release(message);
			refuseMalformed(message.decoderResult().cause());
			return;
		}
		if (message instanceof HttpRequest request) {
			startRequest(request);
		}
		if (message instanceof HttpContent content) {
			appendBody(content);
		}
	}

	private void refuseMalformed(Throwable cause) {
		if (cause instanceof TooLongHttpHeaderException || cause instanceof TooLongHttpLineException) {
			refuse(431, ErrorCode.TOO_LARGE, cause.getMessage());
		}
		else {
			refuse(400, ErrorCode.BAD_REQUEST, String.valueOf(cause.getMessage()));
		}
	}

	private void startRequest(HttpRequest request) {
		this.head = request;
		this.body = new ByteArrayOutputStream(0);
		this.arrivedNanos = this.context.nowNanos();
		this.waitingSinceNanos = this.arrivedNanos;
		this.keepAlive = HttpUtil.isKeepAlive(request);
		Optional<String> problem = RequestChecks.findProblem(request);
		if (problem.isPresent()) {
			refuse(400, ErrorCode.BAD_REQUEST, problem.get());
			return;
		}
		if (HttpUtil.getContentLength(request, 0L) > this.context.limits().bodyBytes()) {
			refuse(413, ErrorCode.TOO_LARGE, "the request body is longer than the limit");
			return;
		}
		if (HttpUtil.is100ContinueExpected(request)) {
			this.channel.writeAndFlush(new DefaultFullHttpResponse(HttpVersion.HTTP_1_1, HttpResponseStatus.CONTINUE,
					Unpooled.EMPTY_BUFFER));
		}
	}

	private void appendBody(HttpContent content) {
		ByteBuf bytes = content.content();
		int length = bytes.readableBytes();
		if (this.closing || this.head == null) {
			content.release();
			return;
		}
		if (this.body.size() + length > this.context.limits().bodyBytes()) {
			content.release();
			refuse(413, ErrorCode.TOO_LARGE, "the request body is longer than the limit");
			return;
		}
		if (!this.context.reserve(length)) {
			content.release();
			refuse(503, ErrorCode.OVERLOADED, "the limit of buffered bytes of all requests is reached");
			return;
		}
		this.reservedBytes += length;
		if (length > 0) {
			byte[] copy = ByteBufUtil.getBytes(bytes);
			this.body.write(copy, 0, copy.length);
			this.waitingSinceNanos = this.context.nowNanos();
		}
		content.release();
		if (content instanceof LastHttpContent) {
			serve();
		}
	}

	private void serve() {
		this.responding = true;
		CallerRequest request = new CallerRequest(this.head, this.body.toByteArray(), this.arrivedNanos);
		this.body = null;
		this.admissionHandler.admit(request, this).ifPresent((admitted) -> {
			this.exchange = new Exchange(this.context, this, admitted, () -> this.exchange = null);
			this.exchange.start();
		});
	}

	// Refuses a request after which the connection cannot be read on, and closes the
	// connection after the response.
	private void refuse(int status, ErrorCode code, String detail) {
		logger.info("event=refused status={} verdict=not-run code={} detail=\"{}\"", status, code.text(), detail);
		this.context.metrics().countResponse(status, code.text());
		this.keepAlive = false;
		this.responding = true;
		ErrorResponse.send(this, status, Verdict.ofNotRun(code), 0);
	}

	@Override
	public void respond(HttpResponseStatus status, HttpHeaders headers, ByteBuf content) {
		DefaultFullHttpResponse response = new DefaultFullHttpResponse(HttpVersion.HTTP_1_1, status,
				isHeadRequest() ? Unpooled.EMPTY_BUFFER : content);
		response.headers().set(headers);
		if (status.code() != 204 && status.code() != 304) {
			response.headers().set(HttpHeaderNames.CONTENT_LENGTH, content.readableBytes());
		}
		setConnectionHeader(response);
		this.channel.write(response);
		responseFinished();
	}

	private boolean isHeadRequest() {
		return this.head != null && this.head.method().equals(HttpMethod.HEAD);
	}

	// The load balancer gives a new connection to an entry that is ready, so a caller
	// loses nothing by leaving one that refuses requests with keys.
	private void setConnectionHeader(HttpResponse response) {
		if (this.context.draining() || !this.context.ready()) {
			this.keepAlive = false;
		}
		if (!this.keepAlive) {
			response.headers().set(HttpHeaderNames.CONNECTION, HttpHeaderValues.CLOSE);
		}
		else if (this.head != null && this.head.protocolVersion().equals(HttpVersion.HTTP_1_0)) {
			response.headers().set(HttpHeaderNames.CONNECTION, HttpHeaderValues.KEEP_ALIVE);
		}
	}

	@Override
	public void startResponse(HttpResponseStatus status, HttpHeaders headers) {
		HttpResponse response = new DefaultHttpResponse(HttpVersion.HTTP_1_1, status);
		response.headers().set(headers);
		if (callerReadsToEndOfConnection()) {
			this.keepAlive = false;
		}
		else {
			response.headers().set(HttpHeaderNames.TRANSFER_ENCODING, HttpHeaderValues.CHUNKED);
		}
		setConnectionHeader(response);
		this.channel.write(response);
	}

	@Override
	public void writePart(ByteBuf part) {
		this.channel.writeAndFlush(new DefaultHttpContent(part));
	}

	@Override
	public void finish() {
		this.channel.write(LastHttpContent.EMPTY_LAST_CONTENT);
		responseFinished();
	}

	@Override
	public void abort() {
		this.closing = true;
		this.channel.flush();
		if (callerReadsToEndOfConnection() && this.channel.isActive()) {
			this.channel.config().setOption(ChannelOption.SO_LINGER, 0);
		}
		this.channel.close();
	}

	// An HTTP/1.0 caller takes the end of the connection for the end of the response.
	private boolean callerReadsToEndOfConnection() {
		return this.head != null && this.head.protocolVersion().equals(HttpVersion.HTTP_1_0);
	}

	@Override
	public boolean writable() {
		return this.channel.isWritable();
	}

	private void responseFinished() {
		this.channel.flush();
		this.context.release(this.reservedBytes);
		this.reservedBytes = 0;
		this.head = null;
		if (!this.keepAlive) {
			closeAfterLinger();
			return;
		}
		this.responding = false;
		this.waitingSinceNanos = this.context.nowNanos();
		this.context.loop().execute(this::processPipelinedMessages);
	}

	private void closeAfterLinger() {
		this.closing = true;
		if (this.channel instanceof SocketChannel socket) {
			this.channel.writeAndFlush(Unpooled.EMPTY_BUFFER)
				.addListener((ChannelFutureListener) (done) -> socket.shutdownOutput());
		}
		this.channel.config().setAutoRead(true);
		this.context.loop().schedule(() -> this.channel.close(), LINGER_MILLIS, TimeUnit.MILLISECONDS);
	}

	private void processPipelinedMessages() {
		while (!this.responding && !this.closing && !this.pipelinedMessages.isEmpty()) {
			process(this.pipelinedMessages.poll());
		}
		if (this.pipelinedMessages.size() < MAX_PIPELINED_MESSAGES) {
			this.channel.config().setAutoRead(true);
		}
	}

	@Override
	public void channelWritabilityChanged(ChannelHandlerContext handlerContext) {
		if (this.exchange != null) {
			this.exchange.callerWritabilityChanged(this.channel.isWritable());
		}
	}

	@Override
	public void channelInactive(ChannelHandlerContext handlerContext) {
		this.closing = true;
		this.pipelinedMessages.forEach(ReferenceCountUtil::release);
		this.pipelinedMessages.clear();
		this.context.release(this.reservedBytes);
		this.reservedBytes = 0;
		if (this.exchange != null) {
			this.exchange.callerDisconnected();
		}
	}

	@Override
	public void exceptionCaught(ChannelHandlerContext handlerContext, Throwable cause) {
		if (this.closing) {
			return;
		}
		if (cause instanceof DecoderException && !this.responding) {
			refuseMalformed((cause.getCause() != null) ? cause.getCause() : cause);
			return;
		}
		if (!(cause instanceof IOException)) {
			logger.warn("event=connection-failed detail=\"{}\"", cause.toString(), cause);
		}
		this.closing = true;
		this.channel.close();
	}

}
