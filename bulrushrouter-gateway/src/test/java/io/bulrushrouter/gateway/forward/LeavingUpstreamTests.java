package io.bulrushrouter.gateway.forward;

import java.io.IOException;

import org.junit.jupiter.api.Test;

import static com.google.common.truth.Truth.assertThat;

/**
 * Upstreams that say in their responses that they leave, while the list calls them ready.
 */
class LeavingUpstreamTests {

	private static final String OK = "HTTP/1.1 200 OK\r\nX-Attempt: id-1\r\nX-Stamp: s\r\n%sContent-Length: 5\r\n\r\nhello";

	private static final String LEAVING = "X-Leaving: 1\r\n";

	private static ScriptedUpstream respondingWith(String notice) throws IOException {
		return ScriptedUpstream.start((number, request, reply) -> reply.write(OK.formatted(notice)));
	}

	private static void request(GatewayFixture gateway) throws IOException {
		try (GatewayFixture.Caller caller = gateway.caller()) {
			assertThat(caller.get("/read/").readResponse()).contains("hello");
		}
	}

	@Test
	void neverSendsANewRequestToAnUpstreamThatSaidItLeaves() throws Exception {
		try (ScriptedUpstream leaving = respondingWith(LEAVING);
				ScriptedUpstream staying = respondingWith("");
				GatewayFixture gateway = new GatewayFixture(leaving, staying)) {
			for (int count = 0; count < 5; count++) {
				request(gateway);
			}
			assertThat(leaving.requests()).hasSize(1);
			assertThat(staying.requests()).hasSize(4);
		}
	}

	@Test
	void forgetsADepartureOnlyWithANewIncarnationOfTheUpstream() throws Exception {
		try (ScriptedUpstream leaving = respondingWith(LEAVING);
				ScriptedUpstream staying = respondingWith("");
				GatewayFixture gateway = new GatewayFixture(leaving, staying)) {
			request(gateway);
			gateway.relist(0);
			request(gateway);
			assertThat(leaving.requests()).hasSize(1);
			gateway.relist(1_700_000_000_000L);
			request(gateway);
			assertThat(leaving.requests()).hasSize(2);
		}
	}

	@Test
	void learnsOfADepartureFromAnErrorAndRetriesElsewhere() throws Exception {
		try (ScriptedUpstream leaving = ScriptedUpstream.start((number, request, reply) -> reply
			.write("HTTP/1.1 503 Leaving\r\nX-Not-Run: 1\r\n" + LEAVING + "Content-Length: 0\r\n\r\n"));
				ScriptedUpstream staying = respondingWith("");
				GatewayFixture gateway = new GatewayFixture(leaving, staying)) {
			request(gateway);
			request(gateway);
			assertThat(leaving.requests()).hasSize(1);
			assertThat(staying.requests()).hasSize(2);
		}
	}

}
