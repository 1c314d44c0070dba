package io.bulrushrouter.gateway.forward;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.TimeUnit;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpHeaders;
import io.netty.handler.codec.http.HttpResponse;
import io.netty.handler.codec.http.HttpResponseStatus;

import io.bulrushrouter.gateway.config.Route;
import io.bulrushrouter.gateway.config.RouteKind;
import io.bulrushrouter.gateway.source.HeaderNames;
import io.bulrushrouter.gateway.stream.EventSplitter;
import io.bulrushrouter.gateway.stream.EventSplitter.Event;
import io.bulrushrouter.http.CompactHeaders;
import io.bulrushrouter.kernel.ErrorCode;
import io.bulrushrouter.kernel.NotRunStatus;
import io.bulrushrouter.kernel.Verdict;

/**
 * Relays the response of an upstream to the caller. Plain responses are buffered until
 * they are complete or exceed the buffer; streams are relayed event by event. The caller
 * receives a single response even if several attempts contribute to it.
 */
final class ResponseRelay {

	/** Plain responses up to this size are buffered until they are complete. */
	private static final int MAX_BUFFERED_RESPONSE_BYTES = 64 * 1024;

	/** Status of an upstream other than the one that the request expects. */
	static final int MISDIRECTED_REQUEST = 421;

	private final GatewayContext context;

	private final ResponseWriter responseWriter;

	private final Route route;

	private final CallerRequest request;

	private final Runnable onFirstPart;

	private HttpResponse responseHead;

	private Optional<HttpResponseStatus> receivedStatus = Optional.empty();

	private UpstreamConnection connection;

	private ResponseFraming framing = ResponseFraming.NONE;

	private EventSplitter splitter;

	private final List<ByteBuf> bufferedParts = new ArrayList<>();

	private int bufferedBytes;

	private boolean started;

	private boolean passThrough;

	private Optional<String> lastEventId = Optional.empty();

	private int eventsSent;

	private int attemptEvents;

	ResponseRelay(GatewayContext context, ResponseWriter responseWriter, Route route, CallerRequest request,
			Runnable onFirstPart) {
		this.onFirstPart = onFirstPart;
		this.context = context;
		this.responseWriter = responseWriter;
		this.route = route;
		this.request = request;
	}

	void startAttempt(UpstreamConnection connection) {
		this.connection = connection;
		this.framing = ResponseFraming.NONE;
		this.receivedStatus = Optional.empty();
		this.splitter = null;
		discard();
		this.responseWriter.buffered(0);
		this.attemptEvents = 0;
		if (!this.started) {
			this.responseHead = null;
		}
	}

	/**
	 * Releases what was buffered of a response that is not passed on.
	 */
	void discard() {
		this.bufferedParts.forEach(ByteBuf::release);
		this.bufferedParts.clear();
		this.bufferedBytes = 0;
	}

	/**
	 * Returns whether a part of the response has been sent to the caller.
	 * @return whether the response has started
	 */
	boolean started() {
		return this.started;
	}

	/**
	 * Returns whether the head of the response of the last attempt has arrived.
	 * @return whether it has arrived and can be used
	 */
	boolean headReceived() {
		return this.framing != ResponseFraming.NONE;
	}

	int status() {
		return this.responseHead.status().code();
	}

	/**
	 * Returns the status line that arrived for the last attempt, used or not.
	 * @return the status and the reason phrase as received, or empty
	 */
	Optional<HttpResponseStatus> receivedStatus() {
		return this.receivedStatus;
	}

	int eventsSent() {
		return this.eventsSent;
	}

	/**
	 * Returns the number of events that the upstream of the last attempt sent.
	 * @return the number
	 */
	int attemptEvents() {
		return this.attemptEvents;
	}

	/**
	 * Returns the identifier of the last event that was sent to the caller.
	 * @return the identifier, or empty if no event with one was sent
	 */
	Optional<String> lastEventId() {
		return this.lastEventId;
	}

	/**
	 * Returns how the end of the response of the last attempt is marked.
	 * @return the framing
	 */
	ResponseFraming framing() {
		return this.framing;
	}

	/**
	 * Returns how much of an event of the last attempt has arrived without its end.
	 * @return the number of bytes
	 */
	int unfinishedBytes() {
		return (this.splitter != null) ? this.splitter.unfinishedBytes() : 0;
	}

	/**
	 * Returns whether the caller was sent any of the last bytes of the body. Such a
	 * response can neither be completed nor resumed if these bytes are not the
	 * upstream's.
	 * @param bytes how many of the last bytes
	 * @return whether some of them were forwarded
	 */
	boolean forwardedAnyOfLast(long bytes) {
		return (this.splitter != null) ? bytes > this.splitter.pendingBytes() : this.started && bytes > 0;
	}

	/**
	 * Handles the head of a response.
	 * @param received the head
	 * @param reusedConnection whether the connection carried another request before
	 * @param retryPossible whether the request may be retried at another upstream; if
	 * not, an error response of the upstream is relayed to the caller, unless its status
	 * would say that the request has not run
	 * @return why the response cannot be used, or empty
	 */
	Optional<Rejection> relayHead(HttpResponse received, boolean reusedConnection, boolean retryPossible) {
		this.framing = ResponseFraming.of(received);
		this.receivedStatus = Optional.of(received.status());
		Optional<Rejection> rejected = validate(received, reusedConnection, retryPossible);
		if (rejected.isPresent()) {
			return rejected;
		}
		if (!this.started) {
			this.responseHead = received;
		}
		boolean events = this.route.kind() == RouteKind.STREAM && isSuccess(received);
		this.splitter = events ? new EventSplitter() : null;
		return Optional.empty();
	}

	private Optional<Rejection> validate(HttpResponse received, boolean reusedConnection, boolean retryPossible) {
		HeaderNames names = this.context.headers();
		HttpHeaders headers = received.headers();
		int status = received.status().code();
		String requestedId = this.request.header(names.attemptId());
		String echoedId = headers.get(names.attemptId());
		boolean unnamed = requestedId != null && echoedId == null;
		if (requestedId != null && echoedId != null && !requestedId.equals(echoedId)) {
			return mayHaveRun(RejectionReason.OTHER_REQUEST, ErrorCode.CONNECTION_LOST,
					"the response belongs to another request");
		}
		if (headers.contains(names.notRun()) || status == MISDIRECTED_REQUEST) {
			return classifyRefusal(received, echoedId != null || !reusedConnection);
		}
		if (isSuccess(received)) {
			if (unnamed) {
				return mayHaveRun(RejectionReason.NO_IDENTIFIER, ErrorCode.ENGINE_ERROR,
						"the response does not name its request");
			}
			if (!headers.contains(names.stamp())) {
				return mayHaveRun(RejectionReason.NO_STAMP, ErrorCode.ENGINE_ERROR,
						"the response has no stamp of its upstream");
			}
			if (headers.contains(HttpHeaderNames.CONTENT_ENCODING)) {
				return mayHaveRun(RejectionReason.CONTENT_CODING, ErrorCode.ENGINE_ERROR,
						"the response has a content coding that was not requested");
			}
		}
		else if (unnamed && reusedConnection) {
			return mayHaveRun(RejectionReason.NO_IDENTIFIER, ErrorCode.CONNECTION_LOST,
					"the response on a reused connection does not name its request");
		}
		else if (unnamed && status < 500 && !headers.contains(names.stamp())) {
			return mayHaveRun(RejectionReason.NO_IDENTIFIER, ErrorCode.ENGINE_ERROR,
					"the response with status " + status + " names neither its request nor its upstream");
		}
		else if (this.started) {
			return broken("the stream cannot be resumed: status " + status);
		}
		else if (NotRunStatus.includes(status)) {
			return mayHaveRun(RejectionReason.UNFOUNDED_PROMISE, ErrorCode.ENGINE_ERROR,
					"the upstream responded with " + status + " and does not say that it has not run the request");
		}
		else if (status >= 500 && retryPossible) {
			return mayHaveRun(RejectionReason.ERROR_STATUS, ErrorCode.ENGINE_ERROR,
					"the upstream responded with status " + status);
		}
		return Optional.empty();
	}

	private Optional<Rejection> classifyRefusal(HttpResponse received, boolean belongsToRequest) {
		int status = received.status().code();
		String detail = "the upstream refused with " + status + " "
				+ received.headers().get(this.context.headers().faultyUpstream(), "");
		if (!belongsToRequest) {
			return mayHaveRun(RejectionReason.NO_IDENTIFIER, ErrorCode.CONNECTION_LOST,
					detail + " on a reused connection, without naming the request");
		}
		ErrorCode code = (status == MISDIRECTED_REQUEST) ? ErrorCode.ENGINE_UNREACHABLE : ErrorCode.OVERLOADED;
		return Optional.of(new Rejection(Verdict.ofNotRun(code), RejectionReason.NOT_RUN, detail));
	}

	private static Optional<Rejection> mayHaveRun(RejectionReason reason, ErrorCode code, String detail) {
		return Optional.of(new Rejection(Verdict.ofMayHaveRun(code), reason, detail));
	}

	static Optional<Rejection> broken(String detail) {
		return mayHaveRun(RejectionReason.BROKEN_STREAM, ErrorCode.STREAM_BROKEN, detail);
	}

	private static boolean isSuccess(HttpResponse received) {
		int status = received.status().code();
		return status >= 200 && status < 300;
	}

	/**
	 * Handles a part of the response body.
	 * @param part the bytes
	 * @return why the response can no longer be used, or empty
	 */
	Optional<Rejection> relayContent(ByteBuf part) {
		if (this.splitter == null) {
			relayPlainPart(part);
			return Optional.empty();
		}
		List<Event> events;
		try {
			events = this.splitter.split(part);
		}
		catch (IllegalStateException ex) {
			return broken(ex.getMessage());
		}
		finally {
			part.release();
		}
		Optional<Rejection> rejected = Optional.empty();
		List<ByteBuf> forwarded = new ArrayList<>(events.size());
		for (Event event : events) {
			if (!follows(event)) {
				rejected = broken(
						"event " + event.id().orElse("-") + " does not follow " + this.lastEventId.orElse("-"));
				break;
			}
			forwarded.add(event.bytes());
			event.id().ifPresent((id) -> this.lastEventId = Optional.of(id));
		}
		forwardEvents(forwarded);
		this.responseWriter.buffered(this.splitter.unfinishedBytes());
		return rejected;
	}

	// All events of a read are written at once, since each write costs a system call.
	private void forwardEvents(List<ByteBuf> events) {
		if (events.isEmpty()) {
			return;
		}
		startIfNeeded();
		this.responseWriter.writePart(Unpooled.wrappedBuffer(events.toArray(ByteBuf[]::new)));
		this.eventsSent += events.size();
		this.attemptEvents += events.size();
		applyBackpressure();
	}

	// Returns whether an event may follow the last one. Numeric identifiers must
	// increase; others cannot be compared.
	private boolean follows(Event event) {
		if (event.id().isEmpty() || this.lastEventId.isEmpty()) {
			return true;
		}
		try {
			return Long.parseLong(event.id().get()) > Long.parseLong(this.lastEventId.get());
		}
		catch (NumberFormatException ex) {
			return true;
		}
	}

	private void relayPlainPart(ByteBuf part) {
		if (this.passThrough) {
			this.responseWriter.writePart(part);
			applyBackpressure();
			return;
		}
		this.bufferedParts.add(part);
		this.bufferedBytes += part.readableBytes();
		if (this.bufferedBytes <= MAX_BUFFERED_RESPONSE_BYTES) {
			this.responseWriter.buffered(this.bufferedBytes);
		}
		else {
			startIfNeeded();
			this.passThrough = true;
			this.responseWriter.buffered(0);
			// A write may reveal that the caller has left, which discards the rest.
			List<ByteBuf> parts = List.copyOf(this.bufferedParts);
			this.bufferedParts.clear();
			parts.forEach(this.responseWriter::writePart);
			applyBackpressure();
		}
	}

	private void applyBackpressure() {
		if (!this.responseWriter.writable()) {
			this.connection.reading(false);
		}
	}

	private void startIfNeeded() {
		if (this.started) {
			return;
		}
		this.started = true;
		this.onFirstPart.run();
		this.context.metrics()
			.firstByte()
			.record(this.context.nowNanos() - this.request.arrivedNanos(), TimeUnit.NANOSECONDS);
		this.responseWriter.startResponse(this.responseHead.status(), endToEndHeaders());
	}

	private HttpHeaders endToEndHeaders() {
		HttpHeaders headers = new CompactHeaders();
		RequestChecks.copyEndToEnd(this.responseHead.headers(), headers);
		return headers;
	}

	/**
	 * Handles the end of the response.
	 * @return why the response is not complete, or empty
	 */
	Optional<Rejection> relayEnd() {
		this.responseWriter.buffered(0);
		// The upstream may have cut the response because it was not read.
		if (this.framing == ResponseFraming.CONNECTION && this.connection.unreadLoss()) {
			return broken("the connection ended after the response was not read for "
					+ this.connection.longestPauseMillis() + " ms");
		}
		if (this.splitter != null) {
			Optional<Rejection> broken = findBreak();
			if (broken.isPresent()) {
				return broken;
			}
			startIfNeeded();
			ByteBuf lineEnds = this.splitter.remainder();
			if (lineEnds.isReadable()) {
				this.responseWriter.writePart(lineEnds);
			}
			this.responseWriter.finish();
		}
		else if (this.started) {
			this.responseWriter.finish();
		}
		else {
			HttpResponseStatus status = this.responseHead.status();
			this.started = true;
			ByteBuf body = Unpooled.wrappedBuffer(this.bufferedParts.toArray(ByteBuf[]::new));
			this.bufferedParts.clear();
			this.responseWriter.respond(status, endToEndHeaders(), body);
		}
		this.context.metrics()
			.completeResponse()
			.record(this.context.nowNanos() - this.request.arrivedNanos(), TimeUnit.NANOSECONDS);
		return Optional.empty();
	}

	private Optional<Rejection> findBreak() {
		if (this.splitter.unfinishedBytes() > 0) {
			return broken(
					"the stream ended inside an event, after " + this.splitter.unfinishedBytes() + " bytes of it");
		}
		if (this.framing == ResponseFraming.CONNECTION && this.attemptEvents == 0) {
			return broken("the connection ended before the first event of the stream");
		}
		return Optional.empty();
	}

	/**
	 * Reason why a response cannot be used.
	 *
	 * @param verdict whether the request may have run, and the error code
	 * @param reason the kind of the reason
	 * @param detail a description for the log
	 */
	record Rejection(Verdict verdict, RejectionReason reason, String detail) {
	}

}
