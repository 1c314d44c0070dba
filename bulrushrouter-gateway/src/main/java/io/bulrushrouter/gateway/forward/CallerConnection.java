package io.bulrushrouter.gateway.forward;

import java.io.IOException;
import java.util.Optional;
import java.util.concurrent.TimeUnit;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFutureListener;
import io.netty.channel.ChannelHandler;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInboundHandlerAdapter;
import io.netty.channel.ChannelOption;
import io.netty.channel.socket.SocketChannel;
import io.netty.handler.codec.DecoderException;
import io.netty.handler.codec.DecoderResult;
import io.netty.handler.codec.http.DefaultFullHttpResponse;
import io.netty.handler.codec.http.DefaultHttpContent;
import io.netty.handler.codec.http.DefaultLastHttpContent;
import io.netty.handler.codec.http.FullHttpResponse;
import io.netty.handler.codec.http.HttpContent;
import io.netty.handler.codec.http.HttpHeaders;
import io.netty.handler.codec.http.HttpObject;
import io.netty.handler.codec.http.HttpRequest;
import io.netty.handler.codec.http.HttpResponse;
import io.netty.handler.codec.http.HttpResponseEncoder;
import io.netty.handler.codec.http.HttpResponseStatus;
import io.netty.handler.codec.http.HttpUtil;
import io.netty.handler.codec.http.HttpVersion;
import io.netty.handler.codec.http.LastHttpContent;
import io.netty.handler.codec.http.TooLongHttpHeaderException;
import io.netty.handler.codec.http.TooLongHttpLineException;
import io.netty.util.ReferenceCountUtil;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

import io.bulrushrouter.http.grammar.MessageGuard;
import io.bulrushrouter.kernel.ErrorCode;
import io.bulrushrouter.kernel.Verdict;

/**
 * Connection of one caller. Reads the requests one after the other, enforces the limits
 * on time and size, and writes the responses.
 */
final class CallerConnection extends ChannelInboundHandlerAdapter implements ResponseWriter {

	private static final Logger logger = LoggerFactory.getLogger(CallerConnection.class);

	/**
	 * How long a closing connection is still read: closing with unread bytes would send a
	 * reset, which can discard the response.
	 */
	private static final long LINGER_MILLIS = 400;

	/** Bytes counted for the head of a response, more than usual ones have. */
	private static final int RESPONSE_HEAD_BYTES = 512;

	/**
	 * How long a connection without a request stays open while requests are refused: a
	 * request takes some milliseconds from its caller.
	 */
	private static final long MAX_IDLE_WHILE_REFUSING_NANOS = TimeUnit.MILLISECONDS.toNanos(400);

	/** Length of a head from which on its decoder is not kept for the next one. */
	private static final int MAX_KEPT_HEAD_BYTES = 2_048;

	private final GatewayContext context;

	private final ExchangeFactory exchanges;

	private final MessageGuard guard = MessageGuard.ofRequests();

	private RequestDecoder decoder;

	private final PipelinedMessages pipelinedMessages;

	private final MemoryLedger.Account account;

	private Channel channel;

	private CallerQueue queue;

	private HttpRequest head;

	private RequestBody body;

	private long arrivedNanos;

	private long waitingSinceNanos;

	private CallerExchange exchange;

	private boolean responding;

	private boolean keepAlive = true;

	private boolean closing;

	private boolean awaitingReader;

	private boolean awaitingTurn;

	private boolean renewingDecoder;

	private long linesRead;

	private String closeReason = "the caller closed the connection";

	CallerConnection(GatewayContext context, ExchangeFactory exchanges) {
		this.context = context;
		this.exchanges = exchanges;
		this.decoder = newDecoder();
		this.account = context.memory()
			.open(() -> context.loop().execute(this::cutForMemory), () -> context.loop().execute(this::evict));
		this.pipelinedMessages = new PipelinedMessages(this.account, this::updateReading);
	}

	private RequestDecoder newDecoder() {
		return new RequestDecoder(this.context.limits().headerBytes(), this::bytesRead);
	}

	/**
	 * Returns the handlers of the connection.
	 * @return the handlers, to be added to the pipeline in this order
	 */
	ChannelHandler[] handlers() {
		return new ChannelHandler[] { this.guard, this.decoder, new HttpResponseEncoder(), this };
	}

	private void bytesRead() {
		this.account.arriving(this.decoder.heldBytes());
		long lines = this.guard.lines() - this.linesRead;
		this.linesRead += lines;
		if (lines > ReadTurns.MAX_LINES && !this.awaitingTurn) {
			this.awaitingTurn = true;
			updateReading();
			this.context.readTurns().await(() -> {
				this.awaitingTurn = false;
				updateReading();
			});
		}
	}

	private void updateReading() {
		this.channel.config().setAutoRead((this.pipelinedMessages.hasRoom() || this.closing) && !this.awaitingTurn);
	}

	@Override
	public void channelActive(ChannelHandlerContext handlerContext) {
		this.channel = handlerContext.channel();
		this.queue = new CallerQueue(this.channel, this.account, this.context::nowNanos, this::callerHasRead);
		this.waitingSinceNanos = this.context.nowNanos();
	}

	/**
	 * Refuses a request that takes too long to arrive and closes a connection that is
	 * idle, or whose caller reads nothing more of a finished response. Changed limits
	 * apply to the next request. While an upstream still sends the response, only its
	 * deadline ends it.
	 * @param nowNanos the time on the monotonic clock, in nanoseconds
	 */
	void sweep(long nowNanos) {
		if (this.channel == null || this.exchange != null) {
			return;
		}
		if (!this.queue.isEmpty()) {
			if (this.queue.unreadNanos(nowNanos) > this.context.limits().idleTimeout().toNanos()) {
				cut("the caller read nothing of a finished response within the idle timeout");
			}
			// The caller is idle only once it has read the response.
			this.waitingSinceNanos = nowNanos;
			return;
		}
		if (this.responding || this.closing) {
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
		else if (waited > maxIdleNanos()) {
			this.closing = true;
			this.channel.close();
		}
		else {
			renewDecoder();
		}
	}

	// A request may be on its way on a connection that was accepted just before a stop.
	private long maxIdleNanos() {
		return this.context.refusingRequests() ? MAX_IDLE_WHILE_REFUSING_NANOS
				: this.context.limits().idleTimeout().toNanos();
	}

	@Override
	public void channelRead(ChannelHandlerContext handlerContext, Object message) {
		if (this.closing) {
			ReferenceCountUtil.release(message);
			return;
		}
		enqueue((HttpObject) message);
	}

	private void enqueue(HttpObject message) {
		this.pipelinedMessages.add(message);
		processMessages();
	}

	private void processMessages() {
		while (!this.responding && !this.closing && !this.pipelinedMessages.isEmpty()) {
			process(this.pipelinedMessages.poll());
		}
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
		this.body = new RequestBody(this.account, this.context.limits().bodyBytes(), this.context::nowNanos);
		this.arrivedNanos = this.context.nowNanos();
		this.waitingSinceNanos = this.arrivedNanos;
		this.keepAlive = HttpUtil.isKeepAlive(request);
		Optional<String> problem = RequestChecks.findProblem(request);
		if (problem.isPresent()) {
			refuse(400, ErrorCode.BAD_REQUEST, problem.get());
			return;
		}
		Optional<ErrorCode> refusal = this.body.begin(HttpUtil.getContentLength(request, 0L),
				RequestDecoder.headBytes(request));
		if (refusal.isPresent()) {
			refuseForSize(refusal.get());
			return;
		}
		if (HttpUtil.is100ContinueExpected(request)) {
			this.channel.writeAndFlush(new DefaultFullHttpResponse(HttpVersion.HTTP_1_1, HttpResponseStatus.CONTINUE,
					Unpooled.EMPTY_BUFFER));
		}
	}

	private void appendBody(HttpContent content) {
		if (this.closing || this.head == null) {
			content.release();
			return;
		}
		if (content.content().isReadable()) {
			this.waitingSinceNanos = this.context.nowNanos();
		}
		Optional<ErrorCode> refusal = this.body.append(content.content());
		content.release();
		if (refusal.isPresent()) {
			refuseForSize(refusal.get());
		}
		else if (content instanceof LastHttpContent) {
			serve();
		}
	}

	private void refuseForSize(ErrorCode code) {
		refuse(code.httpStatus(), code, (code == ErrorCode.TOO_LARGE) ? "the request body is longer than the limit"
				: "the memory bound of all connections is reached");
	}

	private void serve() {
		this.responding = true;
		CallerRequest request = new CallerRequest(this.head, this.body.toByteArray(), this.arrivedNanos);
		this.body = null;
		this.exchanges.open(request, this, () -> this.exchange = null).ifPresent((opened) -> {
			this.exchange = opened;
			opened.start();
		});
	}

	// Refuses a request after which the connection cannot be read on, and closes the
	// connection after the response.
	private void refuse(int status, ErrorCode code, String detail) {
		logger.info("event=refused status={} verdict=not-run code={} detail=\"{}\"", status, code.text(), detail);
		this.context.metrics().countResponse(status, code.text());
		this.keepAlive = false;
		this.responding = true;
		this.body = null;
		ErrorResponse.send(this, status, Verdict.ofNotRun(code),
				(status == 503) ? RetryAfter.millis(code, this.context.random()) : 0);
	}

	@Override
	public void respond(HttpResponseStatus status, HttpHeaders headers, ByteBuf content) {
		FullHttpResponse response = ResponseHeads.ofComplete(this.head, status, headers, content);
		setConnectionHeader(response);
		this.queue.write(response, RESPONSE_HEAD_BYTES + response.content().readableBytes());
		responseFinished();
	}

	@Override
	public void startResponse(HttpResponseStatus status, HttpHeaders headers) {
		HttpResponse response = ResponseHeads.ofStreamed(this.head, status, headers);
		this.keepAlive &= !ResponseHeads.readsToEndOfConnection(this.head);
		setConnectionHeader(response);
		this.queue.add(response, RESPONSE_HEAD_BYTES);
	}

	// The load balancer gives a new connection to an entry that is ready, so a caller
	// loses nothing by leaving one that refuses requests with keys, once all that it sent
	// there is answered.
	private void setConnectionHeader(HttpResponse response) {
		boolean leaving = this.context.draining() || !this.context.ready();
		this.keepAlive &= !leaving || nextRequestBegun();
		ResponseHeads.setConnection(response, this.head, this.keepAlive);
	}

	private boolean nextRequestBegun() {
		return !this.pipelinedMessages.isEmpty() || this.decoder.headIncomplete();
	}

	@Override
	public void writePart(ByteBuf part) {
		this.queue.write(new DefaultHttpContent(part), part.readableBytes());
	}

	@Override
	public void buffered(long bytes) {
		this.account.buffered(bytes);
	}

	@Override
	public void finish() {
		this.queue.write(LastHttpContent.EMPTY_LAST_CONTENT, 0);
		responseFinished();
	}

	@Override
	public void abort() {
		this.closing = true;
		this.channel.flush();
		// Such a caller would take the orderly end of the connection for a complete
		// response.
		if (ResponseHeads.readsToEndOfConnection(this.head) && this.channel.isActive()) {
			this.channel.config().setOption(ChannelOption.SO_LINGER, 0);
		}
		this.channel.close();
	}

	@Override
	public boolean writable() {
		return this.queue.writable();
	}

	private void responseFinished() {
		this.account.releaseRequest();
		this.account.buffered(0);
		this.renewingDecoder |= this.head != null && RequestDecoder.headBytes(this.head) > MAX_KEPT_HEAD_BYTES;
		this.head = null;
		if (!this.keepAlive) {
			closeAfterLinger();
			return;
		}
		// A caller that pipelines requests and reads no responses gets no further ones.
		this.awaitingReader = !this.queue.writable();
		if (!this.awaitingReader) {
			awaitRequest();
		}
	}

	// What waits is processed in a task, since the exchange of the request ends after its
	// response.
	private void awaitRequest() {
		this.responding = false;
		this.waitingSinceNanos = this.context.nowNanos();
		this.context.loop().execute(() -> {
			renewDecoder();
			processMessages();
		});
	}

	// A decoder of the library keeps a buffer as long as the longest line, and its limit.
	private void renewDecoder() {
		boolean due = this.renewingDecoder || this.decoder.headerBytes() != this.context.limits().headerBytes();
		boolean atRest = !this.closing && this.pipelinedMessages.isEmpty() && this.decoder.atRest();
		if (due && atRest && this.channel.isActive()) {
			RequestDecoder renewed = newDecoder();
			this.channel.pipeline().replace(this.decoder, null, renewed);
			this.decoder = renewed;
			this.renewingDecoder = false;
		}
	}

	// The linger time begins when the caller has been sent everything, however slowly it
	// reads.
	private void closeAfterLinger() {
		this.closing = true;
		this.pipelinedMessages.release();
		stopDecoding();
		updateReading();
		this.channel.writeAndFlush(Unpooled.EMPTY_BUFFER).addListener((ChannelFutureListener) (done) -> {
			if (this.channel instanceof SocketChannel socket && socket.isActive()) {
				socket.shutdownOutput();
			}
			this.context.loop().schedule(() -> this.channel.close(), LINGER_MILLIS, TimeUnit.MILLISECONDS);
		});
	}

	// What still arrives is discarded undecoded, and what is not decoded is freed.
	private void stopDecoding() {
		if (this.channel.pipeline().context(this.decoder) != null) {
			this.channel.pipeline().remove(this.guard);
			this.channel.pipeline().remove(this.decoder);
		}
		this.account.arriving(0);
	}

	private void callerHasRead() {
		if (this.exchange != null) {
			this.exchange.callerWritabilityChanged(true);
		}
		else if (this.awaitingReader) {
			this.awaitingReader = false;
			awaitRequest();
		}
	}

	private void cutForMemory() {
		cut("the caller read nothing for the longest time when the memory bound was reached");
	}

	private void evict() {
		if (this.channel.isActive()) {
			String reason = "the connection held most of what was not served when the memory bound was reached";
			logger.info("event=caller-evicted held-bytes={} limit={} detail=\"{}\"", this.context.heldBytes(),
					this.context.settings().maxBufferedBytes(), reason);
			reset(reason);
		}
	}

	private void cut(String reason) {
		if (this.channel == null || !this.channel.isActive()) {
			return;
		}
		long unreadMillis = TimeUnit.NANOSECONDS.toMillis(this.queue.unreadNanos(this.context.nowNanos()));
		logger.info("event=reader-cut queued-bytes={} unread-ms={} held-bytes={} limit={} detail=\"{}\"",
				this.queue.bytes(), unreadMillis, this.context.heldBytes(), this.context.settings().maxBufferedBytes(),
				reason);
		reset(reason);
	}

	// A reset also frees what the operating system holds for the connection.
	private void reset(String reason) {
		this.closing = true;
		this.closeReason = reason;
		this.channel.config().setOption(ChannelOption.SO_LINGER, 0);
		this.channel.close();
	}

	/**
	 * Returns whether a request is arriving or waits, or its response is not written as a
	 * whole.
	 * @return whether closing the connection now would cut something off
	 */
	boolean busy() {
		return this.head != null || nextRequestBegun() || (this.queue != null && !this.queue.isEmpty());
	}

	@Override
	public void channelInactive(ChannelHandlerContext handlerContext) {
		this.closing = true;
		this.pipelinedMessages.release();
		this.account.close();
		if (this.exchange != null) {
			this.exchange.callerDisconnected(this.closeReason);
		}
	}

	@Override
	public void exceptionCaught(ChannelHandlerContext handlerContext, Throwable cause) {
		if (this.closing) {
			return;
		}
		if (cause instanceof DecoderException) {
			HttpContent malformed = new DefaultLastHttpContent();
			malformed.setDecoderResult(DecoderResult.failure((cause.getCause() != null) ? cause.getCause() : cause));
			enqueue(malformed);
			return;
		}
		if (!(cause instanceof IOException)) {
			logger.warn("event=connection-failed detail=\"{}\"", cause.toString(), cause);
		}
		this.closing = true;
		this.channel.close();
	}

}
