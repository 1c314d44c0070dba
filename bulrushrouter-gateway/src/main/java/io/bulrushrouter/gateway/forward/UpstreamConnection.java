package io.bulrushrouter.gateway.forward;

import java.nio.charset.StandardCharsets;
import java.util.HashSet;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;

import io.netty.buffer.ByteBuf;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFutureListener;
import io.netty.channel.ChannelHandler;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInboundHandlerAdapter;
import io.netty.channel.ChannelOption;
import io.netty.channel.socket.ChannelInputShutdownEvent;
import io.netty.handler.codec.http.FullHttpRequest;
import io.netty.handler.codec.http.HttpContent;
import io.netty.handler.codec.http.HttpRequestEncoder;
import io.netty.handler.codec.http.HttpResponse;
import io.netty.handler.codec.http.HttpUtil;
import io.netty.handler.codec.http.LastHttpContent;
import io.netty.util.ReferenceCountUtil;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

import io.bulrushrouter.http.grammar.MalformedMessageException;
import io.bulrushrouter.http.grammar.MessageGuard;
import io.bulrushrouter.kernel.ErrorCode;
import io.bulrushrouter.kernel.TimeSource;
import io.bulrushrouter.kernel.Verdict;

/**
 * Connection to an upstream. It carries one request at a time and is closed as soon as
 * bytes arrive that belong to no request.
 */
final class UpstreamConnection extends ChannelInboundHandlerAdapter {

	private static final Logger logger = LoggerFactory.getLogger(UpstreamConnection.class);

	/**
	 * Number of requests after which a connection is not reused, so that it need not keep
	 * more of their identifiers.
	 */
	static final int MAX_REQUESTS = 128;

	/** Logged bytes of what arrives while no response is due: a status line. */
	private static final int LOGGED_STRAY_BYTES = 32;

	/** Characters of an identifier that are kept for the log. */
	private static final int MAX_LOGGED_IDENTIFIER_LENGTH = 64;

	/**
	 * Limit of what may arrive before the head of a response is complete, informational
	 * responses included.
	 */
	private static final int MAX_BYTES_BEFORE_BODY = 64 * 1024;

	/**
	 * Limit of a response body. A longer one is taken for bytes without end.
	 */
	private static final long MAX_BODY_BYTES = 16 * 1024 * 1024;

	/**
	 * How long the rest of a request may take to be written after its response has ended.
	 */
	private static final long MAX_WRITE_AFTER_END_MILLIS = 10_000;

	private final String upstreamId;

	/** Hash codes, since callers choose the length of identifiers. */
	private final Set<Integer> carriedIdentifiers = new HashSet<>();

	private final MessageGuard guard = MessageGuard.ofResponses();

	private final ResponseDecoder decoder = new ResponseDecoder();

	private final Channel channel;

	private final Consumer<UpstreamConnection> onIdle;

	private final Consumer<UpstreamConnection> onClosed;

	private final TimeSource clock;

	private final MemoryLedger.UnreadRequest unreadRequest;

	private final MalformedResponses malformedResponses;

	private ReadPause pause = new ReadPause();

	private ResponseHandler responseHandler;

	private Optional<String> identifier = Optional.empty();

	private boolean headSeen;

	private long bytesBeforeBody;

	private long bodyBytes;

	private boolean reusable;

	private boolean written;

	private long requestBytes;

	private long endedNanos;

	private boolean ended;

	private int requests;

	private long idleSinceNanos;

	private long idleLimitNanos;

	/**
	 * Creates a connection on an open channel.
	 * @param upstreamId the identifier of the upstream
	 * @param channel the channel
	 * @param onIdle called when the connection can carry the next request
	 * @param onClosed called when the connection has closed
	 * @param clock the monotonic clock
	 * @param memory counts requests that the upstream has not read when their response
	 * ends
	 * @param malformedResponses records malformed responses
	 */
	UpstreamConnection(String upstreamId, Channel channel, Consumer<UpstreamConnection> onIdle,
			Consumer<UpstreamConnection> onClosed, TimeSource clock, MemoryLedger memory,
			MalformedResponses malformedResponses) {
		this.malformedResponses = malformedResponses;
		this.upstreamId = upstreamId;
		this.channel = channel;
		this.clock = clock;
		this.unreadRequest = memory
			.openUpstream(() -> dropUnreadRequest("the memory bound of all connections is reached"));
		this.onIdle = onIdle;
		this.onClosed = onClosed;
	}

	/**
	 * Sends a request.
	 * @param request the request
	 * @param identifier the identifier that its response repeats, or empty
	 * @param responseHandler receives the response
	 */
	void send(FullHttpRequest request, Optional<String> identifier, ResponseHandler responseHandler) {
		identifier.map(String::hashCode).ifPresent(this.carriedIdentifiers::add);
		this.identifier = identifier.map(UpstreamConnection::logged);
		this.responseHandler = responseHandler;
		this.headSeen = false;
		this.bytesBeforeBody = 0;
		this.bodyBytes = 0;
		this.ended = false;
		this.written = false;
		this.requestBytes = RequestBody.REQUEST_OVERHEAD_BYTES + request.content().readableBytes();
		this.reusable = true;
		this.pause = new ReadPause();
		this.requests++;
		this.decoder.expectResponseTo(request.method());
		this.guard.expectResponseTo(request.method());
		this.channel.config().setAutoRead(true);
		this.channel.writeAndFlush(request).addListener((ChannelFutureListener) (future) -> {
			this.written = future.isSuccess();
			this.unreadRequest.release();
			if (!future.isSuccess()) {
				fail(ErrorCode.CONNECTION_LOST, "write failed: " + future.cause());
			}
			else if (this.ended) {
				offerForReuse();
			}
		});
	}

	private static String logged(String identifier) {
		return identifier.substring(0, Math.min(identifier.length(), MAX_LOGGED_IDENTIFIER_LENGTH));
	}

	/**
	 * Closes the connection and abandons the request in flight; its handler is not called
	 * again. With a request in flight the connection is reset: an orderly close would
	 * leave the kernel to deliver the request for as long as it takes, and could be taken
	 * for the end of the request body by an upstream that goes on writing its response.
	 */
	void abandon() {
		if (this.responseHandler != null && this.channel.isActive()) {
			this.channel.config().setOption(ChannelOption.SO_LINGER, 0);
		}
		this.responseHandler = null;
		this.channel.close();
	}

	/**
	 * Pauses or resumes reading of the response.
	 * @param reading whether to read
	 */
	void reading(boolean reading) {
		this.pause.reading(reading, this.clock.nanos());
		this.channel.config().setAutoRead(reading);
	}

	/**
	 * Returns whether the loss of the connection is the upstream's cut of a response that
	 * was not read here, and no crash.
	 * @return whether reading of the response paused long enough
	 */
	boolean unreadLoss() {
		return this.pause.explainsLoss(this.clock.nanos());
	}

	long longestPauseMillis() {
		return TimeUnit.NANOSECONDS.toMillis(this.pause.longestNanos(this.clock.nanos()));
	}

	/**
	 * Returns the time on a clock that stands while the response is not read.
	 * @return the time in nanoseconds
	 */
	long readingClock() {
		return this.pause.readingClock(this.clock.nanos());
	}

	boolean active() {
		return this.channel.isActive();
	}

	/**
	 * Returns whether the connection may have carried a request with an identifier.
	 * Another response to that request may still arrive.
	 * @param identifier the identifier
	 * @return whether a request with it, or one with the same hash code, was sent on this
	 * connection
	 */
	boolean mayHaveCarried(String identifier) {
		return this.carriedIdentifiers.contains(identifier.hashCode());
	}

	/**
	 * Returns how many requests the connection has carried.
	 * @return the number, with the one in flight
	 */
	int requests() {
		return this.requests;
	}

	void idleSince(long nanos) {
		this.idleSinceNanos = nanos;
	}

	long idleSince() {
		return this.idleSinceNanos;
	}

	/**
	 * Returns how long the connection may stay idle.
	 * @return the limit in nanoseconds, 0 before the first response
	 */
	long idleLimitNanos() {
		return this.idleLimitNanos;
	}

	/**
	 * Returns the handlers of the connection.
	 * @return the handlers, to be added to the pipeline in this order
	 */
	ChannelHandler[] handlers() {
		return new ChannelHandler[] { new ByteLimiter(), this.guard, this.decoder, new HttpRequestEncoder(), this };
	}

	@Override
	public void channelRead(ChannelHandlerContext context, Object message) {
		if (this.responseHandler == null || this.ended) {
			ReferenceCountUtil.release(message);
			this.reusable = false;
			this.channel.close();
			return;
		}
		if (message instanceof HttpResponse head) {
			readHead(head);
		}
		if (message instanceof HttpContent content && this.responseHandler != null) {
			readContent(content);
		}
	}

	private void readHead(HttpResponse head) {
		if (head.decoderResult().isFailure()) {
			failAsMalformed("decoder", "head: " + head.decoderResult().cause(), 0);
			return;
		}
		Optional<String> problem = ResponseChecks.findProblem(head);
		if (problem.isPresent()) {
			failAsMalformed("two-heads", problem.get(), 0);
			return;
		}
		int status = head.status().code();
		if (status < 200) {
			if (status == 101) {
				fail(ErrorCode.ENGINE_ERROR, "the upstream switched protocols without a request for it");
			}
			return;
		}
		if (this.headSeen) {
			fail(ErrorCode.CONNECTION_LOST, "a second response head arrived before the end of the first response");
			return;
		}
		this.headSeen = true;
		this.reusable = HttpUtil.isKeepAlive(head) && ResponseFraming.of(head) != ResponseFraming.CONNECTION;
		this.idleLimitNanos = KeepAlive.idleLimitNanos(head);
		this.responseHandler.onHead(head);
	}

	private void readContent(HttpContent content) {
		boolean last = content instanceof LastHttpContent;
		if (content.decoderResult().isFailure()) {
			content.release();
			failAsMalformed("decoder", "body: " + content.decoderResult().cause(), 0);
			return;
		}
		if (!this.headSeen) {
			// The end of an informational (1xx) response.
			content.release();
			return;
		}
		this.bodyBytes += content.content().readableBytes();
		if (this.bodyBytes > MAX_BODY_BYTES) {
			content.release();
			fail(ErrorCode.ENGINE_ERROR, "the response body exceeds the limit of " + MAX_BODY_BYTES + " bytes");
			return;
		}
		if (content.content().isReadable()) {
			this.responseHandler.onContent(content.content());
		}
		else {
			content.release();
		}
		if (last && this.responseHandler != null && !this.channel.isActive()) {
			fail(ErrorCode.CONNECTION_LOST, "the connection was closed on this side");
		}
		else if (last && this.responseHandler != null && !this.guard.responseMayEnd()) {
			failAsMalformed("decoder", "the response was taken for complete before its end", 0);
		}
		else if (last && this.responseHandler != null) {
			ResponseHandler done = this.responseHandler;
			this.ended = true;
			rejectUndecodedBytes();
			done.onEnd();
			scheduleCloseIfUnwritten();
		}
	}

	// The decoder would read them as the beginning of the next response.
	private void rejectUndecodedBytes() {
		ByteBuf undecoded = this.decoder.undecoded();
		if (undecoded.isReadable()) {
			logStrayBytes(undecoded);
			this.reusable = false;
		}
	}

	private void logStrayBytes(ByteBuf bytes) {
		String beginning = bytes.toString(bytes.readerIndex(), Math.min(LOGGED_STRAY_BYTES, bytes.readableBytes()),
				StandardCharsets.ISO_8859_1);
		logger.info("event=stray-bytes upstream={} connection-requests={} bytes={} detail=\"{}\"", this.upstreamId,
				this.requests, bytes.readableBytes(), beginning.replaceAll("[^ !#-~]", "."));
	}

	// An upstream that has answered before it read the request may never read on.
	private void scheduleCloseIfUnwritten() {
		if (this.written || !this.channel.isActive()) {
			return;
		}
		int request = this.requests;
		this.endedNanos = this.clock.nanos();
		this.channel.eventLoop().schedule(() -> {
			if (!this.written && this.requests == request && this.channel.isActive()) {
				dropUnreadRequest("the upstream has not read the request in time");
			}
		}, MAX_WRITE_AFTER_END_MILLIS, TimeUnit.MILLISECONDS);
		this.unreadRequest.hold(this.requestBytes);
	}

	private void dropUnreadRequest(String reason) {
		logger.info("event=unread-request-dropped upstream={} bytes={} unread-ms={} detail=\"{}\"", this.upstreamId,
				this.requestBytes, TimeUnit.NANOSECONDS.toMillis(this.clock.nanos() - this.endedNanos), reason);
		// A reset also frees what the operating system holds for the connection.
		if (this.channel.isActive()) {
			this.channel.config().setOption(ChannelOption.SO_LINGER, 0);
		}
		this.channel.close();
	}

	@Override
	public void channelReadComplete(ChannelHandlerContext context) {
		// Not released before all bytes of the read are handled, since an unsolicited
		// response may follow among them.
		if (this.ended && this.written) {
			offerForReuse();
		}
	}

	private void offerForReuse() {
		if (this.responseHandler == null) {
			return;
		}
		this.responseHandler = null;
		if (this.reusable && this.requests < MAX_REQUESTS && this.channel.isActive()) {
			// Reading may have paused for the caller. Stray bytes and the end of an idle
			// connection are noticed only if it is read.
			reading(true);
			this.onIdle.accept(this);
		}
		else {
			this.channel.close();
		}
	}

	/**
	 * Closes the connection once the upstream has ended it. The decoder has reported the
	 * end of an unframed response by then.
	 */
	@Override
	public void userEventTriggered(ChannelHandlerContext context, Object event) {
		if (event instanceof ChannelInputShutdownEvent) {
			fail(ErrorCode.CONNECTION_LOST, "the upstream closed the connection");
		}
	}

	@Override
	public void exceptionCaught(ChannelHandlerContext context, Throwable cause) {
		if (cause instanceof MalformedMessageException malformed) {
			failAsMalformed(malformed.violation().text(), malformed.violation().detail(), malformed.unverifiedBytes());
		}
		else {
			fail(ErrorCode.CONNECTION_LOST, cause.toString());
		}
	}

	private void failAsMalformed(String reason, String detail, long unverifiedBytes) {
		ResponseHandler failed = takeHandler();
		if (failed != null) {
			this.malformedResponses.record(reason, detail, this.upstreamId, this.identifier, this.requests);
			failed.onMalformed(detail, unverifiedBytes);
		}
	}

	@Override
	public void channelInactive(ChannelHandlerContext context) {
		fail(ErrorCode.CONNECTION_LOST, "the upstream closed the connection");
		this.onClosed.accept(this);
	}

	private void fail(ErrorCode code, String detail) {
		ResponseHandler failed = takeHandler();
		if (failed != null) {
			failed.onFailure(Verdict.ofMayHaveRun(code), detail);
		}
	}

	// Closes the connection. Returns the handler of a response that has not ended, or
	// null.
	private ResponseHandler takeHandler() {
		ResponseHandler unanswered = this.ended ? null : this.responseHandler;
		this.responseHandler = null;
		this.reusable = false;
		this.channel.close();
		return unanswered;
	}

	/**
	 * Closes the connection if bytes arrive that cannot belong to a response, which the
	 * decoder may skip without a message.
	 */
	private final class ByteLimiter extends ChannelInboundHandlerAdapter {

		@Override
		public void channelRead(ChannelHandlerContext context, Object bytes) {
			UpstreamConnection connection = UpstreamConnection.this;
			if (connection.responseHandler == null || connection.ended) {
				// Nothing is due on a connection that is closed here, either.
				if (connection.channel.isActive()) {
					logStrayBytes((ByteBuf) bytes);
				}
				ReferenceCountUtil.release(bytes);
				connection.channel.close();
				return;
			}
			connection.bytesBeforeBody += ((ByteBuf) bytes).readableBytes();
			context.fireChannelRead(bytes);
			if (connection.responseHandler != null && !connection.ended) {
				connection.responseHandler.onBytes();
			}
			if (!connection.headSeen && connection.bytesBeforeBody > MAX_BYTES_BEFORE_BODY) {
				fail(ErrorCode.CONNECTION_LOST, "no response head within " + MAX_BYTES_BEFORE_BODY + " bytes");
			}
		}

	}

}
