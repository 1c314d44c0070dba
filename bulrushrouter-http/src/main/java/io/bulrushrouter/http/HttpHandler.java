package io.bulrushrouter.http;

import io.bulrushrouter.kernel.ErrorCode;

/**
 * Handles requests. It is called on an event loop thread and must not block.
 */
public interface HttpHandler {

	/**
	 * Handles a complete request, whose response may be sent now or later.
	 * @param exchange the request and its response
	 */
	void handle(HttpExchange exchange);

	/**
	 * Rejects a request that is malformed or exceeds a limit. The default sends the
	 * status and text of the error code.
	 * @param exchange the request, which may be incomplete, and its response
	 * @param code the reason for the rejection
	 */
	default void refuse(HttpExchange exchange, ErrorCode code) {
		exchange.respond(HttpReply.ofText(code.httpStatus(), code.text()));
	}

}
