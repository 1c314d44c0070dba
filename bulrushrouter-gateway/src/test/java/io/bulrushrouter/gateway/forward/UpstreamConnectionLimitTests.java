package io.bulrushrouter.gateway.forward;

import java.io.IOException;
import java.util.Locale;

import org.junit.jupiter.api.Test;

import static com.google.common.truth.Truth.assertThat;

/**
 * Guards against requests for which no connection is reused, and which leave more idle
 * connections to upstreams than the process has descriptors.
 */
class UpstreamConnectionLimitTests {

	private static final int LIMIT = 3;

	private static final String OK = "HTTP/1.1 200 OK\r\nX-Stamp: s\r\nContent-Length: 2\r\n\r\nok";

	private static final String UNIDENTIFIED = "GET /read/1 HTTP/1.1\r\nHost: test\r\nX-Key: " + GatewayFixture.KEY
			+ "\r\n\r\n";

	private static ScriptedUpstream answering() throws IOException {
		return ScriptedUpstream.start((number, request, reply) -> reply.write(OK));
	}

	@Test
	void closesTheConnectionThatIsIdleForTheLongestTimeAtTheLimit() throws Exception {
		try (ScriptedUpstream upstream = answering();
				GatewayFixture gateway = new GatewayFixture(upstream);
				GatewayFixture.Caller caller = gateway.caller()) {
			gateway.limit(1 << 20, LIMIT);
			for (int request = 0; request < 10; request++) {
				caller.send(UNIDENTIFIED);
				assertThat(caller.readResponse()).startsWith("HTTP/1.1 200");
				assertThat(gateway.read(GatewayContext::upstreamConnections)).isAtMost(LIMIT);
			}
			assertThat(upstream.connections()).isEqualTo(10);
		}
	}

	@Test
	void refusesARequestAsNotRunWhileAllConnectionsCarryOne() throws Exception {
		try (ScriptedUpstream silent = ScriptedUpstream.start((number, request, reply) -> {
		});
				GatewayFixture gateway = new GatewayFixture(silent);
				GatewayFixture.Caller first = gateway.caller();
				GatewayFixture.Caller second = gateway.caller()) {
			gateway.limit(1 << 20, 1);
			first.send(UNIDENTIFIED);
			while (silent.requests().isEmpty()) {
				Thread.onSpinWait();
			}
			second.send(UNIDENTIFIED);
			String refusal = second.readResponse();
			assertThat(refusal).startsWith("HTTP/1.1 503");
			assertThat(refusal.toLowerCase(Locale.ROOT)).contains("retry-after: ");
			assertThat(refusal).contains("not-run");
		}
	}

}
