package io.bulrushrouter.gateway.forward;

import java.nio.charset.StandardCharsets;

import io.netty.buffer.Unpooled;
import io.netty.handler.codec.http.DefaultHttpHeaders;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpHeaders;
import io.netty.handler.codec.http.HttpResponseStatus;

import io.bulrushrouter.kernel.Verdict;

/**
 * Responses that the gateway generates itself.
 */
final class ErrorResponse {

	private ErrorResponse() {
	}

	/**
	 * Sends an error response with the error code and the verdict as JSON.
	 * @param responseWriter writes the response
	 * @param status the HTTP status
	 * @param verdict whether the request may have run, and why it failed
	 * @param retryAfterMillis the delay for the {@code Retry-After} header, in
	 * milliseconds; 0 for no header
	 */
	static void send(ResponseWriter responseWriter, int status, Verdict verdict, long retryAfterMillis) {
		String code = verdict.failure().map((failure) -> failure.text()).orElse("none");
		String body = "{\"error\":\"" + code + "\",\"verdict\":\"" + verdict.text() + "\"}\n";
		HttpHeaders headers = new DefaultHttpHeaders().set(HttpHeaderNames.CONTENT_TYPE, "application/json");
		if (retryAfterMillis > 0) {
			headers.set(HttpHeaderNames.RETRY_AFTER, Double.toString(retryAfterMillis / 1000.0));
		}
		responseWriter.respond(HttpResponseStatus.valueOf(status), headers,
				Unpooled.wrappedBuffer(body.getBytes(StandardCharsets.UTF_8)));
	}

}
