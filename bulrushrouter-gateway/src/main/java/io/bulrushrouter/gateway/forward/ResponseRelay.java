package io.bulrushrouter.gateway.forward;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.TimeUnit;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import io.netty.handler.codec.http.DefaultHttpHeaders;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpHeaders;
import io.netty.handler.codec.http.HttpResponse;
import io.netty.handler.codec.http.HttpResponseStatus;

import io.bulrushrouter.gateway.config.Route;
import io.bulrushrouter.gateway.config.RouteKind;
import io.bulrushrouter.gateway.source.HeaderNames;
import io.bulrushrouter.gateway.stream.EventSplitter;
import io.bulrushrouter.gateway.stream.EventSplitter.Event;
import io.bulrushrouter.kernel.ErrorCode;
import io.bulrushrouter.kernel.Verdict;

/**
 * Passes the answer of an upstream on to the caller: plain answers once they are whole,
 * or once they are long; streams event by event. The caller sees one answer, also if
 * several attempts make it.
 */
final class ResponseRelay {

	/** Plain answers up to this size are held until they are whole. */
	private static final int MAX_BUFFERED_RESPONSE_BYTES = 64 * 1024;

	private static final int MISDIRECTED_REQUEST = 421;

	private final GatewayContext context;

	private final ResponseWriter responseWriter;

	private final Route route;

	private final CallerRequest request;

	private final Runnable onFirstPart;

	private HttpResponse relayHead;

	private UpstreamConnection connection;

	private EventSplitter splitter;

	private List<ByteBuf> bufferedParts = new ArrayList<>();

	private int bufferedBytes;

	private boolean started;

	private boolean passThrough;

	private Optional<String> lastEventId = Optional.empty();

	private int eventsSent;

	ResponseRelay(GatewayContext context, ResponseWriter caller, Route route, CallerRequest request,
			Runnable firstPart) {
		this.onFirstPart = firstPart;
		this.context = context;
		this.responseWriter = caller;
		this.route = route;
		this.request = request;
	}

	void startAttempt(UpstreamConnection connection) {
		this.connection = connection;
		this.splitter = null;
		this.bufferedParts = new ArrayList<>();
		this.bufferedBytes = 0;
		if (!this.started) {
			this.relayHead = null;
		}
	}

	/**
	 * Tells whether the caller has got a part of the answer.
	 * @return whether the answer has started
	 */
	boolean started() {
		return this.started;
	}

	int status() {
		return this.relayHead.status().code();
	}

	int eventsSent() {
		return this.eventsSent;
	}

	/**
	 * Returns the last event that the caller got from this entry.
	 * @return its identifier, or empty if it got none
	 */
	Optional<String> lastEventId() {
		return this.lastEventId;
	}

	/**
	 * Takes the head of an answer.
	 * @param received the head
	 * @param reusedConnection whether another answer came on the same connection before
	 * @param furtherAttempt whether a failure may be tried again at another upstream; if
	 * not, the caller gets it as it is
	 * @return why the answer is of no use, or empty
	 */
	Optional<Rejection> relayHead(HttpResponse received, boolean reusedConnection, boolean furtherAttempt) {
		Optional<Rejection> rejected = validate(received, reusedConnection, furtherAttempt);
		if (rejected.isPresent()) {
			return rejected;
		}
		if (!this.started) {
			this.relayHead = received;
		}
		boolean events = this.route.kind() == RouteKind.STREAM && isSuccess(received);
		this.splitter = events ? new EventSplitter() : null;
		return Optional.empty();
	}

	private Optional<Rejection> validate(HttpResponse received, boolean reusedConnection, boolean furtherAttempt) {
		HeaderNames names = this.context.headers();
		HttpHeaders headers = received.headers();
		int status = received.status().code();
		String asked = this.request.header(names.attemptId());
		String echoed = headers.get(names.attemptId());
		if (asked != null && echoed != null && !asked.equals(echoed)) {
			return mayHaveRun(ErrorCode.CONNECTION_LOST, "the answer belongs to another request");
		}
		if (headers.contains(names.notRun()) || status == MISDIRECTED_REQUEST) {
			return classifyRefusal(received, echoed != null || !reusedConnection);
		}
		if (isSuccess(received)) {
			if (asked != null && echoed == null) {
				return mayHaveRun(ErrorCode.ENGINE_ERROR, "the answer names no request");
			}
			if (!headers.contains(names.stamp())) {
				return mayHaveRun(ErrorCode.ENGINE_ERROR, "the answer has no stamp of its upstream");
			}
			if (headers.contains(HttpHeaderNames.CONTENT_ENCODING)) {
				return mayHaveRun(ErrorCode.ENGINE_ERROR, "the answer is encoded, which nobody asked for");
			}
		}
		else if (this.started) {
			return mayHaveRun(ErrorCode.STREAM_BROKEN, "the stream cannot go on: status " + status);
		}
		else if (status >= 500 && furtherAttempt) {
			return mayHaveRun(ErrorCode.ENGINE_ERROR, "the upstream answered " + status);
		}
		return Optional.empty();
	}

	private Optional<Rejection> classifyRefusal(HttpResponse received, boolean surelyOurs) {
		int status = received.status().code();
		String detail = "the upstream refused with " + status + " "
				+ received.headers().get(this.context.headers().faultyUpstream(), "");
		if (!surelyOurs) {
			return mayHaveRun(ErrorCode.CONNECTION_LOST, detail + " on a used connection, without naming the request");
		}
		ErrorCode code = (status == MISDIRECTED_REQUEST) ? ErrorCode.ENGINE_UNREACHABLE : ErrorCode.OVERLOADED;
		return Optional.of(new Rejection(Verdict.ofNotRun(code), detail));
	}

	private static Optional<Rejection> mayHaveRun(ErrorCode code, String detail) {
		return Optional.of(new Rejection(Verdict.ofMayHaveRun(code), detail));
	}

	private static boolean isSuccess(HttpResponse received) {
		int status = received.status().code();
		return status >= 200 && status < 300;
	}

	/**
	 * Takes a part of the answer's body.
	 * @param part the bytes
	 * @return why the answer is of no more use, or empty
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
			return mayHaveRun(ErrorCode.STREAM_BROKEN, ex.getMessage());
		}
		finally {
			part.release();
		}
		for (Event event : events) {
			if (!follows(event)) {
				return mayHaveRun(ErrorCode.STREAM_BROKEN,
						"event " + event.id().orElse("-") + " does not follow " + this.lastEventId.orElse("-"));
			}
			startIfNeeded();
			this.responseWriter.writePart(event.bytes());
			event.id().ifPresent((id) -> this.lastEventId = Optional.of(id));
			this.eventsSent++;
		}
		applyBackpressure();
		return Optional.empty();
	}

	// Tells whether an event may come after the last one. Identifiers that are numbers
	// grow; others cannot be compared.
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
		if (this.bufferedBytes > MAX_BUFFERED_RESPONSE_BYTES) {
			startIfNeeded();
			this.passThrough = true;
			this.bufferedParts.forEach(this.responseWriter::writePart);
			this.bufferedParts.clear();
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
		this.responseWriter.startResponse(this.relayHead.status(), endToEndHeaders());
	}

	private HttpHeaders endToEndHeaders() {
		HttpHeaders headers = new DefaultHttpHeaders();
		RequestChecks.copyEndToEnd(this.relayHead.headers(), headers);
		return headers;
	}

	/**
	 * Takes the end of the answer.
	 */
	void relayEnd() {
		if (this.splitter != null) {
			ByteBuf rest = this.splitter.remainder();
			startIfNeeded();
			if (rest.isReadable()) {
				this.responseWriter.writePart(rest);
			}
			this.responseWriter.finish();
		}
		else if (this.started) {
			this.responseWriter.finish();
		}
		else {
			HttpResponseStatus status = this.relayHead.status();
			this.started = true;
			this.responseWriter.respond(status, endToEndHeaders(),
					Unpooled.wrappedBuffer(this.bufferedParts.toArray(ByteBuf[]::new)));
		}
		this.context.metrics()
			.completeResponse()
			.record(this.context.nowNanos() - this.request.arrivedNanos(), TimeUnit.NANOSECONDS);
	}

	/**
	 * Why an answer is of no use.
	 *
	 * @param verdict whether the request may have run
	 * @param detail details for the log
	 */
	record Rejection(Verdict verdict, String detail) {
	}

}
