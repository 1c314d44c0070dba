package io.bulrushrouter.gateway.forward;

import java.util.concurrent.atomic.AtomicReference;

import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

import static com.google.common.truth.Truth.assertThat;

/**
 * Guards against answers that are not the caller's own: an upstream sends a second copy
 * of an answer when the connection carries the next request already.
 */
class LateResponseTests {

	private static final String FIRST = "HTTP/1.1 200 OK\r\nX-Attempt: id-1\r\nX-Stamp: s\r\nContent-Length: 5\r\n\r\nfirst";

	private static final String SECOND = FIRST.replace("id-1", "id-2").replace("first", "other");

	private static final String UNNAMED = "HTTP/1.1 200 OK\r\nX-Stamp: s\r\nContent-Length: 5\r\n\r\nplain";

	private static String request(String headers) {
		return "GET /read/x HTTP/1.1\r\nHost: test\r\nX-Key: " + GatewayFixture.KEY + "\r\n" + headers + "\r\n";
	}

	@Test
	void neverGivesACallerALateCopyOfAnEarlierAnswer() throws Exception {
		// The first upstream answers the second request with the first answer again.
		try (ScriptedUpstream repeating = ScriptedUpstream.start((number, request, reply) -> reply.write(FIRST));
				ScriptedUpstream other = ScriptedUpstream.start((number, request, reply) -> reply.write(SECOND));
				GatewayFixture gateway = new GatewayFixture(repeating, other);
				GatewayFixture.Caller caller = gateway.caller()) {
			assertThat(caller.send(request("X-Attempt: id-1\r\n")).readResponse()).endsWith("first");
			assertThat(caller.send(request("X-Attempt: id-2\r\n")).readResponse()).endsWith("other");
			assertThat(repeating.connections()).isEqualTo(1);
			assertThat(repeating.requests()).hasSize(2);
		}
	}

	@Test
	void neverReusesAConnectionForARequestWithoutAnIdentifier() throws Exception {
		try (ScriptedUpstream upstream = ScriptedUpstream.start((number, request, reply) -> reply.write(UNNAMED));
				GatewayFixture gateway = new GatewayFixture(upstream);
				GatewayFixture.Caller caller = gateway.caller()) {
			assertThat(caller.send(request("")).readResponse()).endsWith("plain");
			assertThat(caller.send(request("")).readResponse()).endsWith("plain");
			assertThat(upstream.connections()).isEqualTo(2);
		}
	}

	@Test
	void neverGivesACallerAnErrorThatNamesNoRequestOnAReusedConnection() throws Exception {
		String error = "HTTP/1.1 404 Not Found\r\nContent-Length: 5\r\n\r\nerror";
		try (ScriptedUpstream unnamed = ScriptedUpstream
			.start((number, request, reply) -> reply.write((number == 1) ? FIRST : error));
				ScriptedUpstream other = ScriptedUpstream.start((number, request, reply) -> reply.write(SECOND));
				GatewayFixture gateway = new GatewayFixture(unnamed, other);
				GatewayFixture.Caller caller = gateway.caller()) {
			assertThat(caller.send(request("X-Attempt: id-1\r\n")).readResponse()).endsWith("first");
			assertThat(caller.send(request("X-Attempt: id-2\r\n")).readResponse()).endsWith("other");
		}
	}

	// Guards against a success that is put together from the beginning of a second answer
	// and a failure.
	@ParameterizedTest
	@ValueSource(strings = { "HTTP/1.1 200 ", "HTTP/1.1 200 OK", "HTTP/1.1 200 OK\r\nContent-Type: text",
			"HTTP/1.1 200 OK\r\nContent-Type ", "HTTP/1.1 503 Full\r\nX-Not-Run ", "HTTP/1.1 421 Other\r\nno " })
	void neverReadsTheBeginningOfASecondAnswerAsThatOfTheNext(String beginning) throws Exception {
		String failure = SECOND.replace("200 OK", "500 Internal Server Error");
		try (ScriptedUpstream repeating = ScriptedUpstream
			.start((number, request, reply) -> reply.write((number == 1) ? FIRST : beginning + failure));
				ScriptedUpstream other = ScriptedUpstream.start((number, request, reply) -> reply.write(failure));
				GatewayFixture gateway = new GatewayFixture(repeating, other);
				GatewayFixture.Caller caller = gateway.caller()) {
			assertThat(caller.send(request("X-Attempt: id-1\r\n")).readResponse()).endsWith("first");
			assertThat(caller.send(request("X-Attempt: id-2\r\n")).readResponse()).startsWith("HTTP/1.1 500 ");
			assertThat(repeating.connections()).isEqualTo(1);
		}
	}

	// Guards against a second answer that is taken for the one to a repetition with the
	// same identifier.
	@Test
	void neverGivesARepeatedRequestALateAnswerToItsFirstTry() throws Exception {
		String failure = FIRST.replace("200 OK", "404 Not Found");
		AtomicReference<ScriptedUpstream> self = new AtomicReference<>();
		try (ScriptedUpstream repeating = ScriptedUpstream.start((number, request, reply) -> reply.write(
				(number == 2 && self.get().connections() == 1) ? FIRST.replace("first", "again") + failure : failure));
				GatewayFixture gateway = new GatewayFixture(repeating);
				GatewayFixture.Caller caller = gateway.caller()) {
			self.set(repeating);
			assertThat(caller.send(request("X-Attempt: id-1\r\n")).readResponse()).endsWith("first");
			assertThat(caller.send(request("X-Attempt: id-1\r\n")).readResponse()).startsWith("HTTP/1.1 404 ");
		}
	}

	@Test
	void retiresAConnectionBeforeItCarriesMoreIdentifiersThanItKeeps() throws Exception {
		try (ScriptedUpstream upstream = ScriptedUpstream
			.start((number, request, reply) -> reply.write(FIRST.replace("id-1", "id-" + number)));
				GatewayFixture gateway = new GatewayFixture(upstream);
				GatewayFixture.Caller caller = gateway.caller()) {
			for (int number = 1; number <= 2 * UpstreamConnection.MAX_REQUESTS; number++) {
				caller.send(request("X-Attempt: id-" + number + "\r\n")).readResponse();
			}
			assertThat(upstream.connections()).isEqualTo(2);
		}
	}

}
