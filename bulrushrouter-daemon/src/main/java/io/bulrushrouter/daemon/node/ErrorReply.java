package io.bulrushrouter.daemon.node;

import java.nio.charset.StandardCharsets;
import java.util.Map;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.ObjectMapper;

import io.bulrushrouter.http.HttpReply;
import io.bulrushrouter.kernel.BulrushException;
import io.bulrushrouter.kernel.ErrorCode;
import io.bulrushrouter.kernel.Verdict;

/**
 * Creates the response to a failed request: a JSON object with a stable error code and
 * whether the request may have run.
 */
public final class ErrorReply {

	/** The header that states whether the request may have run. */
	public static final String VERDICT_HEADER = "X-Verdict";

	/** The header that carries the stable error code. */
	public static final String CODE_HEADER = "X-Error-Code";

	private static final String RETRY_AFTER_HEADER = "Retry-After";

	private static final long MILLIS_PER_SECOND = 1_000;

	private static final ObjectMapper JSON = new ObjectMapper();

	private ErrorReply() {
	}

	/**
	 * Returns the response for a request that did not run.
	 * @param code the reason
	 * @param message a human-readable description
	 * @return the response
	 */
	public static HttpReply ofNotRun(ErrorCode code, String message) {
		return of(Verdict.ofNotRun(code), message, 0);
	}

	/**
	 * Returns the response for an administration request that failed without running.
	 * @param failure the cause
	 * @return the response
	 */
	public static HttpReply of(BulrushException failure) {
		return ofNotRun(failure.code(), failure.getMessage());
	}

	/**
	 * Returns the response for a verdict.
	 * @param verdict the outcome of the request
	 * @param message a human-readable description
	 * @param retryAfterMillis the delay before a retry, in milliseconds; 0 if the caller
	 * may retry at once
	 * @return the response
	 */
	public static HttpReply of(Verdict verdict, String message, long retryAfterMillis) {
		ErrorCode code = verdict.failure().orElse(ErrorCode.INTERNAL);
		HttpReply reply = HttpReply.ofJson(code.httpStatus(), json(verdict, code, message))
			.withHeader(VERDICT_HEADER, verdict.text())
			.withHeader(CODE_HEADER, code.text());
		if (retryAfterMillis <= 0) {
			return reply;
		}
		long seconds = (retryAfterMillis + MILLIS_PER_SECOND - 1) / MILLIS_PER_SECOND;
		return reply.withHeader(RETRY_AFTER_HEADER, Long.toString(seconds));
	}

	/**
	 * Returns the event that ends an incomplete stream.
	 * @param verdict the outcome of the request
	 * @param message a human-readable description
	 * @return one server-sent event as UTF-8
	 */
	public static byte[] streamErrorEvent(Verdict verdict, String message) {
		ErrorCode code = verdict.failure().orElse(ErrorCode.STREAM_BROKEN);
		String data = new String(json(verdict, code, message), StandardCharsets.UTF_8);
		return ("event: error\ndata: " + data + "\n\n").getBytes(StandardCharsets.UTF_8);
	}

	private static byte[] json(Verdict verdict, ErrorCode code, String message) {
		try {
			return JSON.writeValueAsBytes(
					Map.of("error", Map.of("code", code.text(), "message", message, "verdict", verdict.text())));
		}
		catch (JsonProcessingException ex) {
			throw new BulrushException(ErrorCode.INTERNAL, "cannot serialise the error response", ex);
		}
	}

}
