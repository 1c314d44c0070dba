package io.bulrushrouter.http;

import java.nio.charset.StandardCharsets;
import java.util.LinkedHashMap;
import java.util.Map;

/**
 * A complete response, or the head of a streamed one.
 *
 * @param status the HTTP status
 * @param contentType the content type
 * @param headers further headers
 * @param body the body, which is empty for the head of a streamed response
 */
public record HttpReply(int status, String contentType, Map<String, String> headers, byte[] body) {

	private static final byte[] EMPTY = new byte[0];

	/**
	 * Creates a response with a copy of the headers. The body is not copied.
	 */
	public HttpReply {
		headers = Map.copyOf(headers);
	}

	/**
	 * Creates a JSON response.
	 * @param status the HTTP status
	 * @param body the JSON text in UTF-8
	 * @return the response
	 */
	public static HttpReply ofJson(int status, byte[] body) {
		return new HttpReply(status, "application/json", Map.of(), body);
	}

	/**
	 * Creates a plain text response.
	 * @param status the HTTP status
	 * @param text the text
	 * @return the response
	 */
	public static HttpReply ofText(int status, String text) {
		return new HttpReply(status, "text/plain; charset=utf-8", Map.of(), text.getBytes(StandardCharsets.UTF_8));
	}

	/**
	 * Creates the head of a streamed response.
	 * @param status the HTTP status
	 * @param contentType the content type
	 * @return the head
	 */
	public static HttpReply ofHead(int status, String contentType) {
		return new HttpReply(status, contentType, Map.of(), EMPTY);
	}

	/**
	 * Returns a copy of this response with a header added or replaced.
	 * @param name the name of the header
	 * @param value the value of the header
	 * @return the response
	 */
	public HttpReply withHeader(String name, String value) {
		Map<String, String> more = new LinkedHashMap<>(this.headers);
		more.put(name, value);
		return new HttpReply(this.status, this.contentType, more, this.body);
	}

}
