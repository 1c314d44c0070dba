package io.bulrushrouter.gateway.forward;

import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.Optional;
import java.util.Set;

import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpHeaders;
import io.netty.handler.codec.http.HttpRequest;
import io.netty.handler.codec.http.HttpVersion;

/**
 * Checks of a request's head that the decoder leaves out.
 */
final class RequestChecks {

	private RequestChecks() {
	}

	/**
	 * Finds what makes a request unfit to be passed on.
	 * @param request the request's head
	 * @return the problem, or empty
	 */
	static Optional<String> findProblem(HttpRequest request) {
		HttpHeaders headers = request.headers();
		if (headers.getAll(HttpHeaderNames.HOST).size() != 1) {
			return Optional.of("a request needs one host");
		}
		if (!request.uri().startsWith("/")) {
			return Optional.of("the target is no path");
		}
		if (!request.protocolVersion().equals(HttpVersion.HTTP_1_1)
				&& !request.protocolVersion().equals(HttpVersion.HTTP_1_0)) {
			return Optional.of("the version is not known");
		}
		List<String> codings = headers.getAll(HttpHeaderNames.TRANSFER_ENCODING);
		if (!codings.isEmpty() && !(codings.size() == 1 && codings.get(0).strip().equalsIgnoreCase("chunked"))) {
			return Optional.of("the transfer coding is not known");
		}
		if (headers.getAll(HttpHeaderNames.CONTENT_LENGTH).size() > 1) {
			return Optional.of("there is more than one length");
		}
		String length = headers.get(HttpHeaderNames.CONTENT_LENGTH);
		if (length != null && !length.chars().allMatch((each) -> each >= '0' && each <= '9')) {
			return Optional.of("the length is no number");
		}
		for (Map.Entry<String, String> header : headers) {
			if (header.getValue().chars().anyMatch((each) -> (each < ' ' && each != '\t') || each == 0x7f)) {
				return Optional.of("a header holds a control character");
			}
		}
		return Optional.empty();
	}

	/** Headers that concern one connection only. */
	private static final Set<String> HOP_BY_HOP = Set.of("connection", "keep-alive", "proxy-connection",
			"proxy-authenticate", "proxy-authorization", "te", "trailer", "transfer-encoding", "upgrade",
			"content-length", "expect");

	/**
	 * Copies the headers that concern both ends, without those of one connection and
	 * without the body's framing.
	 * @param from the received headers
	 * @param to takes the copies
	 */
	static void copyEndToEnd(HttpHeaders from, HttpHeaders to) {
		List<String> named = from.getAll(HttpHeaderNames.CONNECTION);
		for (Map.Entry<String, String> header : from) {
			String lower = header.getKey().toLowerCase(Locale.ROOT);
			if (!HOP_BY_HOP.contains(lower) && !listsHeader(named, lower)) {
				to.add(header.getKey(), header.getValue());
			}
		}
	}

	private static boolean listsHeader(List<String> connectionValues, String header) {
		for (String value : connectionValues) {
			for (String token : value.split(",")) {
				if (token.strip().equalsIgnoreCase(header)) {
					return true;
				}
			}
		}
		return false;
	}

}
