package io.bulrushrouter.gateway.forward;

import java.nio.charset.StandardCharsets;

import io.netty.buffer.Unpooled;
import io.netty.handler.codec.http.DefaultHttpHeaders;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpHeaders;
import io.netty.handler.codec.http.HttpResponseStatus;

import io.bulrushrouter.kernel.Verdict;

/**
 * Answers of the entry's own.
 */
final class ErrorResponse {

	private ErrorResponse() {
	}

	/**
	 * Sends an answer of the entry's own.
	 * @param caller the caller
	 * @param status the status
	 * @param verdict whether the request may have run, and why it failed
	 * @param retryAfterMillis when to come back, in milliseconds; 0 says nothing
	 */
	static void send(ResponseWriter caller, int status, Verdict verdict, long retryAfterMillis) {
		String code = verdict.failure().map((failure) -> failure.text()).orElse("none");
		String body = "{\"error\":\"" + code + "\",\"verdict\":\"" + verdict.text() + "\"}\n";
		HttpHeaders headers = new DefaultHttpHeaders().set(HttpHeaderNames.CONTENT_TYPE, "application/json");
		if (retryAfterMillis > 0) {
			headers.set(HttpHeaderNames.RETRY_AFTER, Double.toString(retryAfterMillis / 1000.0));
		}
		caller.respond(HttpResponseStatus.valueOf(status), headers,
				Unpooled.wrappedBuffer(body.getBytes(StandardCharsets.UTF_8)));
	}

}
