package io.bulrushrouter.gateway.forward;

import java.io.IOException;
import java.util.Locale;

import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

import static com.google.common.truth.Truth.assertThat;

/**
 * Upstreams that refuse a request and say for how long they want none.
 */
class PausedUpstreamTests {

	private static final String OK = "HTTP/1.1 200 OK\r\nX-Attempt: id-1\r\nX-Stamp: s\r\nContent-Length: 5\r\n\r\nhello";

	private static final int REQUESTS = 6;

	private static ScriptedUpstream refusing(String headers) throws IOException {
		return ScriptedUpstream.start((number, request, reply) -> reply
			.write("HTTP/1.1 503 Full\r\n" + headers + "Content-Length: 0\r\n\r\n"));
	}

	private static ScriptedUpstream serving() throws IOException {
		return ScriptedUpstream.start((number, request, reply) -> reply.write(OK));
	}

	@ParameterizedTest
	@ValueSource(strings = { "X-Not-Run: 1\r\nRetry-After: 30\r\n", "X-Not-Run: 1\r\nRetry-After: 20.5\r\n",
			"X-Not-Run: 1\r\nRetry-After: 1e300\r\n", "Retry-After: 30\r\n" })
	void neverSendsARequestToAnUpstreamThatWantsNoneForATime(String refusal) throws Exception {
		try (ScriptedUpstream paused = refusing(refusal);
				ScriptedUpstream free = serving();
				GatewayFixture gateway = new GatewayFixture(paused, free)) {
			for (int count = 0; count < REQUESTS; count++) {
				try (GatewayFixture.Caller caller = gateway.caller()) {
					assertThat(caller.get("/read/").readResponse()).contains("hello");
				}
			}
			assertThat(paused.requests()).hasSize(1);
			assertThat(free.requests()).hasSize(REQUESTS);
		}
	}

	@Test
	void sendsRequestsAgainOnceTheTimeIsOver() throws Exception {
		try (ScriptedUpstream paused = ScriptedUpstream.start((number, request,
				reply) -> reply.write((number == 1)
						? "HTTP/1.1 503 Full\r\nX-Not-Run: 1\r\nRetry-After: 0.05\r\nContent-Length: 0\r\n\r\n" : OK));
				GatewayFixture gateway = new GatewayFixture(paused)) {
			String response = "";
			while (!response.contains("hello")) {
				try (GatewayFixture.Caller caller = gateway.caller()) {
					response = caller.get("/read/").readResponse();
				}
			}
			assertThat(paused.requests()).hasSize(2);
		}
	}

	@Test
	void tellsCallersToReturnWhenTheFirstUpstreamDoes() throws Exception {
		try (ScriptedUpstream paused = refusing("X-Not-Run: 1\r\nRetry-After: 40\r\n");
				GatewayFixture gateway = new GatewayFixture(paused)) {
			for (int count = 0; count < 2; count++) {
				try (GatewayFixture.Caller caller = gateway.caller()) {
					String response = caller.get("/read/").readResponse().toLowerCase(Locale.ROOT);
					assertThat(response).startsWith("http/1.1 503");
					assertThat(response).containsMatch("retry-after: (39|4[0-5])\\.");
				}
			}
			assertThat(paused.requests()).hasSize(1);
		}
	}

	@ParameterizedTest
	@ValueSource(strings = { "soon", "-5", "NaN", "" })
	void ignoresATimeThatIsNoNumberOfSeconds(String value) throws Exception {
		try (ScriptedUpstream overloaded = refusing("X-Not-Run: 1\r\nRetry-After: " + value + "\r\n");
				ScriptedUpstream free = serving();
				GatewayFixture gateway = new GatewayFixture(overloaded, free)) {
			for (int count = 0; count < 2; count++) {
				try (GatewayFixture.Caller caller = gateway.caller()) {
					assertThat(caller.get("/read/").readResponse()).contains("hello");
				}
			}
			assertThat(overloaded.requests()).hasSize(2);
		}
	}

}
