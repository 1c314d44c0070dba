package io.bulrushrouter.http;

import java.util.Map;
import java.util.Optional;
import java.util.TreeMap;

/**
 * The head of an answer.
 *
 * @param status the HTTP status
 * @param contentType the content type, empty if there is none
 * @param headers the headers, by name in any case
 */
public record HttpResponseHead(int status, String contentType, Map<String, String> headers) {

	/**
	 * Keeps its own copy of the headers.
	 */
	public HttpResponseHead {
		Map<String, String> copy = new TreeMap<>(String.CASE_INSENSITIVE_ORDER);
		copy.putAll(headers);
		headers = copy;
	}

	/**
	 * Finds a header.
	 * @param name its name, in any case
	 * @return its value, or empty
	 */
	public Optional<String> header(String name) {
		return Optional.ofNullable(this.headers.get(name));
	}

}
