package io.bulrushrouter.gateway.forward;

import io.netty.handler.codec.http.HttpResponse;
import io.netty.handler.codec.http.HttpUtil;

/**
 * How the end of a response body is marked.
 */
enum ResponseFraming {

	/** No response has arrived. */
	NONE("none"),

	/** By a content length. */
	LENGTH("length"),

	/** By a last chunk. */
	CHUNKED("chunked"),

	/** By the end of the connection. */
	CONNECTION("connection");

	private final String text;

	ResponseFraming(String text) {
		this.text = text;
	}

	/**
	 * Determines the framing of a response.
	 * @param head the head of the response
	 * @return the framing of its body
	 */
	static ResponseFraming of(HttpResponse head) {
		if (HttpUtil.isTransferEncodingChunked(head)) {
			return CHUNKED;
		}
		return HttpUtil.isContentLengthSet(head) ? LENGTH : CONNECTION;
	}

	/**
	 * Returns the name for logs.
	 * @return the name in lower case
	 */
	String text() {
		return this.text;
	}

}
