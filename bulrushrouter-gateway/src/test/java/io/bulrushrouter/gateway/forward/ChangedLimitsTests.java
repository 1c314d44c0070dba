package io.bulrushrouter.gateway.forward;

import java.time.Duration;

import org.junit.jupiter.api.Test;

import static com.google.common.truth.Truth.assertThat;

/**
 * Guards against connections that keep the limits under which they were opened.
 */
class ChangedLimitsTests {

	private static final String ORDINARY = request("/read/", 10, "");

	private static final String LONG = request("/read/", 6_000, "");

	private static String request(String route, int fieldBytes, String body) {
		return "POST " + route + "x HTTP/1.1\r\nHost: test\r\nX-Key: " + GatewayFixture.KEY + "\r\nX-Long: "
				+ "l".repeat(fieldBytes) + "\r\nContent-Length: " + body.length() + "\r\n\r\n" + body;
	}

	private static ScriptedUpstream upstream() throws Exception {
		return ScriptedUpstream.start((number, request, reply) -> reply
			.write("HTTP/1.1 200 OK\r\nX-Stamp: s\r\nContent-Length: 2\r\n\r\nok"));
	}

	@Test
	void applyToAConnectionThatIsIdle() throws Exception {
		try (ScriptedUpstream upstream = upstream();
				GatewayFixture gateway = new GatewayFixture(upstream);
				GatewayFixture.Caller unused = gateway.caller();
				GatewayFixture.Caller kept = gateway.caller()) {
			assertThat(kept.send(ORDINARY).readResponse()).endsWith("ok");
			gateway.headLimit(8_192);
			gateway.sweepAfter(Duration.ZERO);
			assertThat(kept.send(LONG).readResponse()).endsWith("ok");
			assertThat(unused.send(LONG).readResponse()).endsWith("ok");
			gateway.headLimit(4_096);
			gateway.sweepAfter(Duration.ZERO);
			assertThat(kept.send(LONG).readResponse()).startsWith("HTTP/1.1 431 ");
		}
	}

	@Test
	void applyToTheRequestBehindOneThatWasRunningMeanwhile() throws Exception {
		try (ScriptedUpstream upstream = upstream();
				GatewayFixture gateway = new GatewayFixture(upstream);
				GatewayFixture.Caller kept = gateway.caller()) {
			assertThat(kept.send(ORDINARY).readResponse()).endsWith("ok");
			gateway.headLimit(8_192);
			assertThat(kept.send(ORDINARY).readResponse()).endsWith("ok");
			gateway.runTasks();
			assertThat(kept.send(LONG).readResponse()).endsWith("ok");
		}
	}

	@Test
	void leaveARequestAloneThatIsArriving() throws Exception {
		String whole = request("/write/", 10, ORDINARY);
		for (int length = 1; length < whole.length(); length += 7) {
			try (ScriptedUpstream upstream = upstream();
					GatewayFixture gateway = new GatewayFixture(upstream);
					GatewayFixture.Caller caller = gateway.caller()) {
				caller.send(whole.substring(0, length));
				gateway.headLimit(8_192);
				gateway.sweepAfter(Duration.ZERO);
				assertThat(caller.send(whole.substring(length)).readResponse()).endsWith("ok");
				assertThat(upstream.requests()).hasSize(1);
				assertThat(upstream.requests().get(0)).endsWith("\r\n\r\n" + ORDINARY);
			}
		}
	}

}
