package io.bulrushrouter.gateway.forward;

import java.io.IOException;
import java.util.List;

import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.MethodSource;
import org.junit.jupiter.params.provider.ValueSource;

import static com.google.common.truth.Truth.assertThat;
import static com.google.common.truth.Truth.assertWithMessage;

/**
 * Guards against a response whose status HTTP does not define, such as 000: it reaches a
 * caller as an answer, or holds the caller to its deadline.
 */
class UndefinedStatusTests {

	private static final String STAMPED = "X-Attempt: id-1\r\nX-Stamp: s\r\n";

	private static final String SOUND = "HTTP/1.1 200 OK\r\n" + STAMPED + "Content-Length: 5\r\n\r\nsound";

	private static final List<String> STATUSES = List.of("000", "001", "099", "600", "999", "00", "0", "0000", "0200");

	/**
	 * Returns responses with each status: with a length, without a body, in chunks, up to
	 * the end of the connection, as a refusal, without an identifier, without fields.
	 * @return the responses
	 */
	static List<String> responses() {
		return STATUSES.stream()
			.flatMap((status) -> List
				.of(STAMPED + "Content-Length: 2\r\n\r\nno", STAMPED + "Content-Length: 0\r\n\r\n",
						STAMPED + "Transfer-Encoding: chunked\r\n\r\n2\r\nno\r\n0\r\n\r\n",
						STAMPED + "Connection: close\r\n\r\nno",
						STAMPED + "X-Not-Run: 1\r\nRetry-After: 1\r\nContent-Length: 0\r\n\r\n",
						"X-Stamp: s\r\nContent-Length: 2\r\n\r\nno", "\r\n")
				.stream()
				.map((rest) -> "HTTP/1.1 " + status + " Name\r\n" + rest))
			.toList();
	}

	private static ScriptedUpstream answering(String response) throws IOException {
		return ScriptedUpstream.start((number, request, reply) -> reply.write(response));
	}

	@ParameterizedTest
	@MethodSource("responses")
	void repeatsARequestElsewhere(String response) throws Exception {
		try (ScriptedUpstream undefined = answering(response);
				ScriptedUpstream other = answering(SOUND);
				GatewayFixture gateway = new GatewayFixture(undefined, other);
				GatewayFixture.Caller caller = gateway.caller()) {
			assertThat(caller.get("/read/x").readResponse()).endsWith("sound");
			assertThat(undefined.requests()).hasSize(1);
		}
	}

	@ParameterizedTest
	@MethodSource("responses")
	void failsARequestThatMayRunOnceWithoutWaitingForItsDeadline(String response) throws Exception {
		try (ScriptedUpstream undefined = answering(response);
				ScriptedUpstream other = answering(SOUND);
				GatewayFixture gateway = new GatewayFixture(undefined, other);
				GatewayFixture.Caller caller = gateway.caller()) {
			assertThat(caller.post("/write/x", "b").readResponse()).startsWith("HTTP/1.1 502 ");
			assertThat(other.requests()).isEmpty();
		}
	}

	@ParameterizedTest
	@ValueSource(strings = { "000", "600" })
	void asksAnotherUpstreamForAHeadOrAStream(String status) throws Exception {
		String undefined = "HTTP/1.1 " + status + " Name\r\n" + STAMPED + "Content-Length: 2\r\n\r\n";
		String stream = "HTTP/1.1 200 OK\r\n" + STAMPED + "Transfer-Encoding: chunked\r\n\r\n"
				+ StreamText.chunk(StreamText.event(1)) + "0\r\n\r\n";
		try (ScriptedUpstream first = answering(undefined);
				ScriptedUpstream other = ScriptedUpstream.start((number, request, reply) -> reply
					.write(request.startsWith("HEAD") ? SOUND.replace("sound", "") : stream));
				GatewayFixture gateway = new GatewayFixture(first, other);
				GatewayFixture.Caller caller = gateway.caller()) {
			String head = "HEAD /read/x HTTP/1.1\r\nHost: test\r\nX-Key: " + GatewayFixture.KEY
					+ "\r\nX-Attempt: id-1\r\n\r\n";
			assertThat(caller.send(head).readUntil("\r\n\r\n")).startsWith("HTTP/1.1 200 ");
			assertThat(caller.post("/stream/x", "b").readUntil("\r\n0\r\n\r\n")).contains(StreamText.event(1));
		}
	}

	@ParameterizedTest
	@ValueSource(strings = { "000", "600", "99" })
	void neverTakesOneBehindASoundResponseForTheNext(String status) throws Exception {
		String stray = "HTTP/1.1 " + status + " Name\r\n" + STAMPED.replace("id-1", "id-2")
				+ "Content-Length: 2\r\n\r\nno";
		try (ScriptedUpstream undefined = answering(SOUND + stray);
				ScriptedUpstream other = answering(SOUND.replace("id-1", "id-2"));
				GatewayFixture gateway = new GatewayFixture(undefined, other);
				GatewayFixture.Caller caller = gateway.caller()) {
			for (String id : List.of("id-1", "id-2")) {
				String response = caller
					.send("GET /read/x HTTP/1.1\r\nHost: test\r\nX-Key: " + GatewayFixture.KEY + "\r\nX-Attempt: " + id
							+ "\r\n\r\n")
					.readResponse();
				assertWithMessage(id).that(response).endsWith("sound");
			}
		}
	}

}
