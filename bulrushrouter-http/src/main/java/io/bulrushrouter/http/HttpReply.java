package io.bulrushrouter.http;

import java.nio.charset.StandardCharsets;
import java.util.LinkedHashMap;
import java.util.Map;

/**
 * A whole answer, or the head of a streamed one.
 *
 * @param status the HTTP status
 * @param contentType the content type
 * @param headers further headers
 * @param body the body; empty for the head of a stream
 */
public record HttpReply(int status, String contentType, Map<String, String> headers, byte[] body) {

	private static final byte[] EMPTY = new byte[0];

	/**
	 * Keeps its own copy of the headers.
	 */
	public HttpReply {
		headers = Map.copyOf(headers);
	}

	/**
	 * Returns a JSON answer.
	 * @param status the HTTP status
	 * @param body the JSON text as UTF-8
	 * @return the answer
	 */
	public static HttpReply ofJson(int status, byte[] body) {
		return new HttpReply(status, "application/json", Map.of(), body);
	}

	/**
	 * Returns a plain text answer.
	 * @param status the HTTP status
	 * @param text the text
	 * @return the answer
	 */
	public static HttpReply ofText(int status, String text) {
		return new HttpReply(status, "text/plain; charset=utf-8", Map.of(), text.getBytes(StandardCharsets.UTF_8));
	}

	/**
	 * Returns the head of a streamed answer.
	 * @param status the HTTP status
	 * @param contentType the content type
	 * @return the head
	 */
	public static HttpReply ofHead(int status, String contentType) {
		return new HttpReply(status, contentType, Map.of(), EMPTY);
	}

	/**
	 * Returns the same answer with one more header.
	 * @param name the header
	 * @param value its value
	 * @return the answer
	 */
	public HttpReply withHeader(String name, String value) {
		Map<String, String> more = new LinkedHashMap<>(this.headers);
		more.put(name, value);
		return new HttpReply(this.status, this.contentType, more, this.body);
	}

}
