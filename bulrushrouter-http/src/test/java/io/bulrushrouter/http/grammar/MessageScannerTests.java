package io.bulrushrouter.http.grammar;

import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.Optional;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import io.netty.handler.codec.http.HttpMethod;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.ValueSource;

import static com.google.common.truth.Truth.assertThat;
import static com.google.common.truth.Truth.assertWithMessage;

/**
 * Which bytes are HTTP/1.1 messages, wherever segments end. In the tables, {@code $} is a
 * line end, {@code #} a line feed, {@code @} a carriage return and {@code ~} a control
 * character.
 */
class MessageScannerTests {

	private static final String CHUNKED = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n";

	private static ByteBuf bytes(String text) {
		return Unpooled.copiedBuffer(text, StandardCharsets.ISO_8859_1);
	}

	private static String expand(String text) {
		return text.replace("$", "\r\n").replace('#', '\n').replace('@', '\r').replace('~', '\u0001');
	}

	private static Optional<Violation> scanInTwo(MessageScanner scanner, String text, int split) {
		scanner.scan(bytes(text.substring(0, split)));
		scanner.scan(bytes(text.substring(split)));
		return scanner.violation();
	}

	private static void assertSound(MessageScanner scanner, String text, int split) {
		assertWithMessage(text + " split at " + split).that(scanInTwo(scanner, text, split)).isEmpty();
	}

	@ParameterizedTest
	@ValueSource(strings = { "HTTP/1.1 200 OK$$", "HTTP/1.0 200 OK$$to the end", "HTTP/1.1 200 $Content-Length: 2$$ok",
			"HTTP/1.1 200$Content-Length:0002  $$ok", "HTTP/1.1 404 Not \u00e4 Found$content-length:\t2\t$$no",
			"HTTP/1.1 204 None$$", "HTTP/1.1 204 None$Content-Length: 0$$", "HTTP/1.1 304 Same$Content-Length: 9$$",
			"HTTP/1.1 100 Continue$$HTTP/1.1 103 Hints$Link: a$$HTTP/1.1 200 OK$Content-Length: 2$$ok",
			"HTTP/1.1 200 OK$X-Empty:$X-Text: a\tb \u00e4$Content-Length: 0$$",
			"HTTP/1.1 200 OK$Transfer-Encoding: Chunked$$2$ok$0$$",
			"HTTP/1.1 200 OK$Transfer-Encoding: chunked$$0000A$0123456789$00a;x$0123456789$a ;b = \"c;d\"$0123456789$0$$",
			"HTTP/1.1 200 OK$Transfer-Encoding: chunked$$2$@#$0;last$Digest: a$Content-Length: 7$$" })
	void acceptsSoundResponsesWhereverSegmentsEnd(String template) {
		String text = expand(template);
		for (int split = 0; split <= text.length(); split++) {
			MessageScanner scanner = MessageScanner.ofResponses();
			assertSound(scanner, text, split);
			assertWithMessage(text).that(scanner.responseMayEnd()).isTrue();
		}
	}

	@ParameterizedTest
	@ValueSource(strings = { "GET / HTTP/1.1$Host: a$$", "POST /a?b=%20&c HTTP/1.0$Host: a$Content-Length: 2$$ok",
			"POST /a HTTP/1.1$Host: a$Transfer-Encoding: chunked$$2;x$ok$00$Digest: a$$",
			"$#GET / HTTP/1.1$Host: a$$##GET / HTTP/1.1$Host: a$$" })
	void acceptsSoundRequestsInARow(String template) {
		String text = expand(template);
		for (int split = 0; split <= text.length(); split++) {
			MessageScanner scanner = MessageScanner.ofRequests();
			assertSound(scanner, text, split);
			assertThat(scanner.scan(bytes(text))).isEqualTo(text.length());
		}
	}

	// Guards against heads that a lenient decoder reads in a way of its own.
	@ParameterizedTest
	@CsvSource(delimiter = '|', textBlock = """
			HTTP/1.7 200 OK$$ | STATUS_LINE
			HTTP/2.0 200 OK$$ | STATUS_LINE
			http/1.1 200 OK$$ | STATUS_LINE
			HTTP/1.1  200 OK$$ | STATUS_LINE
			HTTP/1.1 20 OK$$ | STATUS_LINE
			HTTP/1.1 000 OK$$ | STATUS_LINE
			HTTP/1.1 099 OK$$ | STATUS_LINE
			HTTP/1.1 600 OK$$ | STATUS_LINE
			HTTP/1.1 999 OK$$ | STATUS_LINE
			HTTP/1.1 2000 OK$$ | STATUS_LINE
			HTTP/1.1 +20 OK$$ | STATUS_LINE
			HTTP/1.1 200 O~K$$ | STATUS_LINE
			$HTTP/1.1 200 OK$$ | STATUS_LINE
			HTTP/1.1 200 OK#$ | LINE_END
			HTTP/1.1 200 OK@x$ | LINE_END
			HTTP/1.1 200 OK$A: b#$ | LINE_END
			HTTP/1.1 200 OK$A: b$# | LINE_END
			HTTP/1.1 200 OK$A: b$@x | LINE_END
			HTTP/1.1 200 OK$A$$ | FIELD_NAME
			HTTP/1.1 200 OK$: b$$ | FIELD_NAME
			HTTP/1.1 200 OK$A : b$$ | FIELD_NAME
			HTTP/1.1 200 OK$A(: b$$ | FIELD_NAME
			HTTP/1.1 200 OK$A~: b$$ | FIELD_NAME
			HTTP/1.1 200 OK$A: b~$$ | FIELD_VALUE
			HTTP/1.1 200 OK$A: b$ c$$ | FOLDED_FIELD
			HTTP/1.1 200 OK$Content-Length: 2, 2$$ok | CONTENT_LENGTH
			HTTP/1.1 200 OK$Content-Length: 2$Content-Length: 2$$ok | CONTENT_LENGTH
			HTTP/1.1 200 OK$Content-Length: +2$$ok | CONTENT_LENGTH
			HTTP/1.1 200 OK$Content-Length:$$ok | CONTENT_LENGTH
			HTTP/1.1 200 OK$Content-Length: 9223372036854775808$$ | CONTENT_LENGTH
			HTTP/1.1 200 OK$Transfer-Encoding: gzip, chunked$$0$$ | TRANSFER_CODING
			HTTP/1.1 200 OK$Transfer-Encoding: identity$$ | TRANSFER_CODING
			HTTP/1.0 200 OK$Transfer-Encoding: chunked$$0$$ | TRANSFER_CODING
			HTTP/1.1 200 OK$Transfer-Encoding: chunked$Content-Length: 2$$ | LENGTH_AND_CODING
			HTTP/1.1 100 Continue$Content-Length: 2$$ok | BODY_NOT_ALLOWED
			HTTP/1.1 204 None$Transfer-Encoding: chunked$$0$$ | BODY_NOT_ALLOWED
			""")
	void rejectsMalformedHeadsWhereverSegmentsEnd(String template, Violation violation) {
		assertRejected(expand(template), violation);
	}

	private static void assertRejected(String text, Violation violation) {
		for (int split = 0; split <= text.length(); split++) {
			assertWithMessage(text + " split at " + split).that(scanInTwo(MessageScanner.ofResponses(), text, split))
				.hasValue(violation);
		}
	}

	// Guards against chunks that hold other bytes than their size says.
	@ParameterizedTest
	@CsvSource(delimiter = '|', textBlock = """
			2$okay$0$$ | CHUNK_END
			4$ok$0$$ | CHUNK_END
			3$ok$0$$ | CHUNK_END
			2$ok0$$ | CHUNK_END
			2$ok#0$$ | CHUNK_END
			2$ok@0$$ | CHUNK_END
			$2$ok$0$$ | CHUNK_SIZE
			x$ok$0$$ | CHUNK_SIZE
			0x2$ok$0$$ | CHUNK_SIZE
			+2$ok$0$$ | CHUNK_SIZE
			-2$ok$0$$ | CHUNK_SIZE
			2g$ok$0$$ | CHUNK_SIZE
			2 2$ok$0$$ | CHUNK_SIZE
			2 $ok$0$$ | CHUNK_SIZE
			100000002$ok$0$$ | CHUNK_SIZE
			80000000$ok$0$$ | CHUNK_SIZE
			2;a~$ok$0$$ | CHUNK_SIZE
			2#ok$0$$ | CHUNK_SIZE
			2;a#ok$0$$ | LINE_END
			2$ok$0$A$$ | FIELD_NAME
			2$ok$0$A: b$ c$$ | FOLDED_FIELD
			2$ok$0#$ | CHUNK_SIZE
			2$ok$0$# | LINE_END
			""")
	void rejectsMalformedChunksWhereverSegmentsEnd(String body, Violation violation) {
		assertRejected(CHUNKED + expand(body), violation);
	}

	@ParameterizedTest
	@CsvSource(delimiter = '|', textBlock = """
			GET  / HTTP/1.1$$ | REQUEST_LINE
			GET /a b HTTP/1.1$$ | REQUEST_LINE
			GET /\u00e4 HTTP/1.1$$ | REQUEST_LINE
			G@T / HTTP/1.1$$ | REQUEST_LINE
			GET / HTTP/1.1 $$ | REQUEST_LINE
			GET / HTTP/3.0$$ | REQUEST_LINE
			GET /$$ | REQUEST_LINE
			POST / HTTP/1.1$Content-Length: 2$Transfer-Encoding: chunked$$0$$ | LENGTH_AND_CODING
			POST / HTTP/1.0$Transfer-Encoding: chunked$$0$$ | TRANSFER_CODING
			POST / HTTP/1.1$Transfer-Encoding: chunked$$100000005$hello$0$$ | CHUNK_SIZE
			""")
	void rejectsMalformedRequests(String template, Violation violation) {
		String text = expand(template);
		for (int split = 0; split <= text.length(); split++) {
			assertWithMessage(text).that(scanInTwo(MessageScanner.ofRequests(), text, split)).hasValue(violation);
		}
	}

	@Test
	void takesNoBodyForThatOfAResponseToHead() {
		String head = "HTTP/1.1 200 OK\r\nContent-Length: 20\r\n\r\n";
		MessageScanner scanner = MessageScanner.ofResponses();
		scanner.expectResponseTo(HttpMethod.HEAD);
		assertThat(scanner.scan(bytes(head))).isEqualTo(head.length());
		assertThat(scanner.responseMayEnd()).isTrue();
		// Only one response has no body.
		scanner.scan(bytes(head + "some bytes"));
		assertThat(scanner.violation()).isEmpty();
	}

	@Test
	void countsTheBytesOfMessagesThatEndedBeforeAViolation() {
		String sound = "GET / HTTP/1.1\r\nHost: a\r\n\r\n";
		MessageScanner scanner = MessageScanner.ofRequests();
		assertThat(scanner.scan(bytes(sound + sound + "GET /\r\n"))).isEqualTo(2 * sound.length());
		assertThat(scanner.violation()).hasValue(Violation.REQUEST_LINE);
	}

	@Test
	void countsTheBytesOfAMalformedChunkThatWerePassedOn() {
		for (String rest : List.of("x\r\n", "\r\n8\r\n01234567xx")) {
			MessageScanner scanner = MessageScanner.ofResponses();
			scanner.scan(bytes(CHUNKED + "4\r\nfour\r\n5\r\nhel"));
			scanner.scan(bytes("lo"));
			scanner.scan(bytes(rest));
			assertThat(scanner.violation()).hasValue(Violation.CHUNK_END);
			assertThat(scanner.unverifiedBytes()).isEqualTo(rest.startsWith("x") ? 5 : 0);
		}
	}

	@Test
	void neverTakesAnIncompleteResponseForACompleteOne() {
		String text = CHUNKED + "2\r\nok\r\n0\r\nDigest: a\r\n\r\n";
		for (int length = 0; length < text.length(); length++) {
			MessageScanner scanner = MessageScanner.ofResponses();
			scanner.scan(bytes(text.substring(0, length)));
			assertThat(scanner.responseMayEnd()).isFalse();
		}
	}

}
