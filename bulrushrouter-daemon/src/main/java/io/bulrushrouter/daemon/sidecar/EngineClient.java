package io.bulrushrouter.daemon.sidecar;

import java.net.URI;
import java.nio.charset.StandardCharsets;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.function.Consumer;

import io.bulrushrouter.http.HttpCall;
import io.bulrushrouter.http.HttpResponseHead;
import io.bulrushrouter.http.HttpResponseListener;
import io.bulrushrouter.http.StreamingHttpClient;
import io.bulrushrouter.kernel.AttemptId;
import io.bulrushrouter.kernel.ErrorCode;
import io.bulrushrouter.kernel.NotRunStatus;
import io.bulrushrouter.request.CallKind;
import io.bulrushrouter.request.RequestSpec;
import io.bulrushrouter.request.SidecarEvent;

/**
 * Runs attempts on the upstream over HTTP and converts its responses to events.
 */
final class EngineClient {

	private static final String REQUEST_HEADER = "X-Request-Id";

	private static final String RESUME_HEADER = "X-Resume-After-Tokens";

	private static final String VERSION_HEADER = "X-Model-Version";

	private static final String KEY_HEADER = "Idempotency-Key";

	private static final int SERVER_ERROR = 500;

	private final StreamingHttpClient httpClient;

	private final String baseUrl;

	private final Consumer<SidecarEvent> events;

	private final Map<AttemptId, HttpCall> inFlight = new HashMap<>();

	/**
	 * Creates a client.
	 * @param httpClient the HTTP client
	 * @param url the upstream's address
	 * @param events receives the events, on network threads
	 */
	EngineClient(StreamingHttpClient httpClient, URI url, Consumer<SidecarEvent> events) {
		this.httpClient = httpClient;
		this.baseUrl = "http://" + url.getAuthority();
		this.events = events;
	}

	/**
	 * Runs an attempt.
	 * @param attempt the attempt
	 * @param spec the request to run
	 * @param resumeAfterTokens the number of leading tokens to omit from the response
	 */
	void run(AttemptId attempt, RequestSpec spec, int resumeAfterTokens) {
		Map<String, String> headers = new LinkedHashMap<>();
		headers.put("Content-Type", "application/json");
		headers.put(REQUEST_HEADER, attempt.request().toString());
		spec.idempotencyKey().ifPresent((key) -> headers.put(KEY_HEADER, key));
		if (resumeAfterTokens > 0) {
			headers.put(RESUME_HEADER, Integer.toString(resumeAfterTokens));
		}
		HttpResponseListener listener = (spec.stream() && spec.kind() == CallKind.COMPLETION)
				? new StreamListener(attempt) : new PlainListener(attempt);
		this.inFlight.put(attempt,
				this.httpClient.send(spec.method(), this.baseUrl + spec.path(), headers, spec.body(), listener));
	}

	/**
	 * Cancels an attempt; has no effect if it is not in flight.
	 * @param attempt the attempt
	 */
	void cancel(AttemptId attempt) {
		HttpCall call = this.inFlight.remove(attempt);
		if (call != null) {
			call.cancel();
			this.events.accept(new SidecarEvent.EngineFailed(attempt, ErrorCode.CANCELLED, true));
		}
	}

	/**
	 * Removes an attempt that has ended.
	 * @param attempt the attempt
	 */
	void forget(AttemptId attempt) {
		this.inFlight.remove(attempt);
	}

	private class PlainListener implements HttpResponseListener {

		private final AttemptId attempt;

		private boolean failed;

		PlainListener(AttemptId attempt) {
			this.attempt = attempt;
		}

		@Override
		public void head(HttpResponseHead head) {
			// A caller would take such a status for a promise of this product.
			if (head.status() >= SERVER_ERROR || NotRunStatus.includes(head.status())) {
				fail(ErrorCode.ENGINE_ERROR, true);
			}
			else {
				emit(new SidecarEvent.EngineHead(this.attempt, head.status(), head.contentType(),
						head.header(VERSION_HEADER).orElse("")));
			}
		}

		@Override
		public void part(byte[] bytes) {
			data(bytes, 0);
		}

		final void data(byte[] bytes, int tokens) {
			if (bytes.length > 0) {
				emit(new SidecarEvent.EngineData(this.attempt, bytes, tokens));
			}
		}

		@Override
		public void end() {
			emit(new SidecarEvent.EngineEnd(this.attempt));
		}

		@Override
		public void failed(boolean mayHaveArrived, Throwable cause) {
			ErrorCode code = mayHaveArrived ? ErrorCode.CONNECTION_LOST : ErrorCode.ENGINE_UNREACHABLE;
			fail(code, mayHaveArrived);
		}

		final void fail(ErrorCode code, boolean mayHaveRun) {
			emit(new SidecarEvent.EngineFailed(this.attempt, code, mayHaveRun));
			this.failed = true;
		}

		private void emit(SidecarEvent event) {
			if (!this.failed || event instanceof SidecarEvent.EngineFailed) {
				EngineClient.this.events.accept(event);
			}
		}

	}

	private final class StreamListener extends PlainListener {

		private final EventSplitter splitter = new EventSplitter();

		StreamListener(AttemptId attempt) {
			super(attempt);
		}

		@Override
		public void part(byte[] bytes) {
			byte[] events = this.splitter.append(bytes);
			data(events, EventSplitter.countTokenEvents(events));
		}

		@Override
		public void end() {
			byte[] remainder = this.splitter.remainder();
			if (new String(remainder, StandardCharsets.ISO_8859_1).isBlank()) {
				data(remainder, 0);
				super.end();
			}
			else {
				fail(ErrorCode.STREAM_BROKEN, true);
			}
		}

	}

}
