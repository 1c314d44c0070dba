package io.bulrushrouter.gateway.forward;

import java.time.Duration;

import org.junit.jupiter.api.Test;

import static com.google.common.truth.Truth.assertThat;

/**
 * Timeouts for callers that send a request too slowly or nothing at all.
 */
class SlowCallerTests {

	private static final String RESPONSE = "HTTP/1.1 200 OK\r\nX-Attempt: id-1\r\nX-Stamp: s\r\nContent-Length: 2\r\n\r\nok";

	/** Returns a caller whose partial request has been read by the gateway. */
	private static GatewayFixture.Caller callerWithPartialRequest(GatewayFixture gateway, String partialRequest)
			throws Exception {
		GatewayFixture.Caller caller = gateway.caller();
		assertThat(caller.get("/read/1").readResponse()).contains("ok");
		caller.send(partialRequest);
		try (GatewayFixture.Caller other = gateway.caller()) {
			// The event loop reads the partial request before it responds to this caller.
			assertThat(other.get("/read/2").readResponse()).contains("ok");
		}
		return caller;
	}

	private static ScriptedUpstream respondingUpstream() throws Exception {
		return ScriptedUpstream.start((number, request, reply) -> reply.write(RESPONSE));
	}

	@Test
	void refusesARequestWhoseHeadTimesOut() throws Exception {
		try (ScriptedUpstream upstream = respondingUpstream();
				GatewayFixture gateway = new GatewayFixture(upstream);
				GatewayFixture.Caller caller = callerWithPartialRequest(gateway, "GET /read/3 HTTP/1.1\r\nHost: te")) {
			gateway.sweepAfter(Duration.ofSeconds(2));
			gateway.sweepAfter(Duration.ofSeconds(4));
			assertThat(caller.readResponse()).startsWith("HTTP/1.1 408");
			assertThat(caller.readToEnd()).isEmpty();
		}
	}

	@Test
	void refusesARequestWhoseBodyTimesOut() throws Exception {
		try (ScriptedUpstream upstream = respondingUpstream();
				GatewayFixture gateway = new GatewayFixture(upstream);
				GatewayFixture.Caller caller = callerWithPartialRequest(gateway,
						"POST /write/3 HTTP/1.1\r\nHost: test\r\nX-Key: secret\r\nContent-Length: 9\r\n\r\nabc")) {
			gateway.sweepAfter(Duration.ofSeconds(14));
			gateway.sweepAfter(Duration.ofSeconds(16));
			assertThat(caller.readResponse()).startsWith("HTTP/1.1 408");
			assertThat(upstream.requests()).hasSize(2);
		}
	}

	@Test
	void closesAnIdleConnectionOnlyAfterTheIdleTimeout() throws Exception {
		try (ScriptedUpstream upstream = respondingUpstream();
				GatewayFixture gateway = new GatewayFixture(upstream);
				GatewayFixture.Caller caller = callerWithPartialRequest(gateway, "")) {
			gateway.sweepAfter(Duration.ofSeconds(12));
			assertThat(caller.get("/read/4").readResponse()).contains("ok");
			gateway.sweepAfter(Duration.ofSeconds(16));
			assertThat(caller.readToEnd()).isEmpty();
		}
	}

}
