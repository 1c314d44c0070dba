package io.bulrushrouter.http;

import io.bulrushrouter.kernel.ErrorCode;

/**
 * Answers requests. Called on a network thread, so it must not block.
 */
public interface HttpHandler {

	/**
	 * Takes a whole request and answers it now or later.
	 * @param exchange the request and the way to answer
	 */
	void handle(HttpExchange exchange);

	/**
	 * Answers a request that broke a limit or was malformed.
	 * @param exchange the way to answer; the request may be partial
	 * @param code what was wrong
	 */
	default void refuse(HttpExchange exchange, ErrorCode code) {
		exchange.respond(HttpReply.ofText(code.httpStatus(), code.text()));
	}

}
