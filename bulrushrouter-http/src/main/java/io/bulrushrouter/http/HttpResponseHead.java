package io.bulrushrouter.http;

import java.util.Map;
import java.util.Optional;
import java.util.TreeMap;

/**
 * The head of a received response.
 *
 * @param status the HTTP status
 * @param contentType the content type, or an empty string if there is none
 * @param headers the headers by name, where the case of names is ignored
 */
public record HttpResponseHead(int status, String contentType, Map<String, String> headers) {

	/**
	 * Creates a head with a copy of the headers.
	 */
	public HttpResponseHead {
		Map<String, String> copy = new TreeMap<>(String.CASE_INSENSITIVE_ORDER);
		copy.putAll(headers);
		headers = copy;
	}

	/**
	 * Finds a header.
	 * @param name the name of the header, in any case
	 * @return the value of the header, or empty
	 */
	public Optional<String> header(String name) {
		return Optional.ofNullable(this.headers.get(name));
	}

}
