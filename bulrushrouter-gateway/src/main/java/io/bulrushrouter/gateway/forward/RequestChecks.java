package io.bulrushrouter.gateway.forward;

import java.util.HashSet;
import java.util.Iterator;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.Optional;
import java.util.Set;

import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpHeaders;
import io.netty.handler.codec.http.HttpRequest;

/**
 * Checks of a request head that follows the grammar, and the headers that are forwarded.
 */
final class RequestChecks {

	private RequestChecks() {
	}

	/**
	 * Checks whether a request can be forwarded without another parser reading it
	 * differently.
	 * @param request the head of the request
	 * @return the reason why it is malformed, or empty
	 */
	static Optional<String> findProblem(HttpRequest request) {
		HttpHeaders headers = request.headers();
		if (headers.getAll(HttpHeaderNames.HOST).size() != 1) {
			return Optional.of("a request must have exactly one Host header");
		}
		if (!request.uri().startsWith("/")) {
			return Optional.of("the request target is not an absolute path");
		}
		return Optional.empty();
	}

	/** Headers that apply to a single connection, and those that frame the body. */
	private static final Set<String> HOP_BY_HOP = Set.of("connection", "keep-alive", "proxy-connection",
			"proxy-authenticate", "proxy-authorization", "te", "trailer", "transfer-encoding", "upgrade",
			"content-length", "expect");

	/**
	 * Copies the end-to-end headers: all but those that apply to a single connection or
	 * frame the body.
	 * @param from the received headers
	 * @param to the headers to add the copies to
	 */
	static void copyEndToEnd(HttpHeaders from, HttpHeaders to) {
		Set<String> connectionOptions = connectionOptions(from);
		Iterator<Map.Entry<CharSequence, CharSequence>> headers = from.iteratorCharSequence();
		while (headers.hasNext()) {
			Map.Entry<CharSequence, CharSequence> header = headers.next();
			String name = header.getKey().toString().toLowerCase(Locale.ROOT);
			if (!HOP_BY_HOP.contains(name) && !connectionOptions.contains(name)) {
				to.add(header.getKey(), header.getValue());
			}
		}
	}

	// Compared as a set, since a caller may name as many headers as it sends.
	private static Set<String> connectionOptions(HttpHeaders headers) {
		List<String> values = headers.getAll(HttpHeaderNames.CONNECTION);
		if (values.isEmpty()) {
			return Set.of();
		}
		Set<String> options = new HashSet<>();
		for (String value : values) {
			for (String option : value.split(",")) {
				options.add(option.strip().toLowerCase(Locale.ROOT));
			}
		}
		return options;
	}

}
