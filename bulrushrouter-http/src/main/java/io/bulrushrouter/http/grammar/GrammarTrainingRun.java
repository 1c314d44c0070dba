package io.bulrushrouter.http.grammar;

import java.nio.charset.StandardCharsets;

import io.netty.buffer.Unpooled;

import io.bulrushrouter.http.CompactHeaders;

/**
 * Scans a request and a response and reads headers, so that the class-data archive of the
 * programs has the classes that the first connections need.
 */
public final class GrammarTrainingRun {

	private static final String REQUEST = "POST / HTTP/1.1\r\nHost: a\r\nContent-Length: 2\r\n\r\n{}";

	private static final String RESPONSE = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n2;a\r\n{}\r\n0\r\n\r\n";

	private GrammarTrainingRun() {
	}

	/**
	 * Scans the messages and reads headers.
	 */
	public static void run() {
		scan(MessageScanner.ofRequests(), REQUEST);
		scan(MessageScanner.ofResponses(), RESPONSE);
		new CompactHeaders().add("Host", "a").iteratorCharSequence().next();
	}

	private static void scan(MessageScanner scanner, String message) {
		scanner.scan(Unpooled.copiedBuffer(message, StandardCharsets.US_ASCII));
		scanner.violation().ifPresent((found) -> {
			throw new MalformedMessageException(found, 0);
		});
	}

}
