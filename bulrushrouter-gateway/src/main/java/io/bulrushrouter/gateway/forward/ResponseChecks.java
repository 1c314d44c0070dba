package io.bulrushrouter.gateway.forward;

import java.util.Map;
import java.util.Optional;
import java.util.regex.Pattern;

import io.netty.handler.codec.http.HttpResponse;

/**
 * Checks of a response head that the decoder does not make.
 */
final class ResponseChecks {

	private static final Pattern STATUS_LINE = Pattern.compile("HTTP/\\d\\.\\d\\s+\\d{3}", Pattern.CASE_INSENSITIVE);

	private ResponseChecks() {
	}

	/**
	 * Checks whether the head of a response is a single one. If a response ends inside
	 * its head and the next one follows, the decoder reads both as one head, with the
	 * status of the first and header fields of both.
	 * @param response the head of the response
	 * @return the reason why it is malformed, or empty
	 */
	static Optional<String> findProblem(HttpResponse response) {
		if (holdsStatusLine(response.status().reasonPhrase())) {
			return Optional.of("the status line holds another one");
		}
		for (Map.Entry<String, String> header : response.headers()) {
			if (holdsStatusLine(header.getValue())) {
				return Optional.of("the header " + header.getKey() + " holds a status line");
			}
		}
		return Optional.empty();
	}

	private static boolean holdsStatusLine(String text) {
		return STATUS_LINE.matcher(text).find();
	}

}
