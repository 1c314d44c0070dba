package io.bulrushrouter.gateway.forward;

import java.time.Duration;

import org.junit.jupiter.api.Test;

import static com.google.common.truth.Truth.assertThat;

/**
 * Callers that take too long, or say nothing.
 */
class SlowCallerTests {

	private static final String ANSWER = "HTTP/1.1 200 OK\r\nX-Attempt: id-1\r\nX-Stamp: s\r\nContent-Length: 2\r\n\r\nok";

	/** Answers once, so that all that was sent before has been read. */
	private static GatewayFixture.Caller after(GatewayFixture gateway, String rest) throws Exception {
		GatewayFixture.Caller caller = gateway.caller();
		assertThat(caller.get("/read/1").answer()).contains("ok");
		caller.send(rest);
		try (GatewayFixture.Caller other = gateway.caller()) {
			// The event loop has read the rest before it answers this one.
			assertThat(other.get("/read/2").answer()).contains("ok");
		}
		return caller;
	}

	private static ScriptedUpstream upstream() throws Exception {
		return ScriptedUpstream.start((number, request, reply) -> reply.write(ANSWER));
	}

	@Test
	void aHeadThatDoesNotComeInTimeIsRefused() throws Exception {
		try (ScriptedUpstream upstream = upstream();
				GatewayFixture gateway = new GatewayFixture(upstream);
				GatewayFixture.Caller caller = after(gateway, "GET /read/3 HTTP/1.1\r\nHost: te")) {
			gateway.sweep(Duration.ofSeconds(2));
			gateway.sweep(Duration.ofSeconds(4));
			assertThat(caller.answer()).startsWith("HTTP/1.1 408");
			assertThat(caller.rest()).isEmpty();
		}
	}

	@Test
	void aBodyThatDoesNotComeInTimeIsRefused() throws Exception {
		try (ScriptedUpstream upstream = upstream();
				GatewayFixture gateway = new GatewayFixture(upstream);
				GatewayFixture.Caller caller = after(gateway,
						"POST /write/3 HTTP/1.1\r\nHost: test\r\nX-Key: secret\r\nContent-Length: 9\r\n\r\nabc")) {
			gateway.sweep(Duration.ofSeconds(14));
			gateway.sweep(Duration.ofSeconds(16));
			assertThat(caller.answer()).startsWith("HTTP/1.1 408");
			assertThat(upstream.requests()).hasSize(2);
		}
	}

	@Test
	void anIdleConnectionIsClosedOnlyAfterItsTime() throws Exception {
		try (ScriptedUpstream upstream = upstream();
				GatewayFixture gateway = new GatewayFixture(upstream);
				GatewayFixture.Caller caller = after(gateway, "")) {
			gateway.sweep(Duration.ofSeconds(12));
			assertThat(caller.get("/read/4").answer()).contains("ok");
			gateway.sweep(Duration.ofSeconds(16));
			assertThat(caller.rest()).isEmpty();
		}
	}

}
