package io.bulrushrouter.gateway.forward;

import java.io.IOException;
import java.util.List;
import java.util.OptionalInt;

import org.junit.jupiter.api.Test;

import io.bulrushrouter.gateway.config.Access;
import io.bulrushrouter.gateway.config.Organisation;

import static com.google.common.truth.Truth.assertThat;

/**
 * Guards against requests that run with a key that was taken away, or with one that never
 * was, after a change of who may send requests.
 */
class AccessChangeTests {

	private static final String RESPONSE = "HTTP/1.1 200 OK\r\nX-Attempt: id-1\r\nX-Stamp: s\r\nContent-Length: 0\r\n\r\n";

	private static final Organisation WITHOUT_KEYS = new Organisation("bakers", List.of(), OptionalInt.empty());

	private static ScriptedUpstream answering() throws IOException {
		return ScriptedUpstream.start((number, request, reply) -> reply.write(RESPONSE));
	}

	private static int status(GatewayFixture gateway, String keyHeader) throws IOException {
		try (GatewayFixture.Caller caller = gateway.caller()) {
			String response = caller
				.send("GET /read/x HTTP/1.1\r\nHost: test\r\n" + keyHeader + "X-Attempt: id-1\r\n\r\n")
				.readResponse();
			return Integer.parseInt(response.split(" ")[1]);
		}
	}

	private static List<Integer> statuses(GatewayFixture gateway) throws IOException {
		return List.of(status(gateway, "X-Key: " + GatewayFixture.KEY + "\r\n"), status(gateway, "X-Key: other\r\n"),
				status(gateway, ""));
	}

	@Test
	void refusesAllRequestsOnceTheListOfOrganisationsIsEmpty() throws Exception {
		try (ScriptedUpstream upstream = answering(); GatewayFixture gateway = new GatewayFixture(upstream)) {
			assertThat(statuses(gateway)).containsExactly(200, 401, 401).inOrder();
			gateway.access(Access.ofOrganisations(List.of()));
			assertThat(statuses(gateway)).containsExactly(401, 401, 401).inOrder();
			assertThat(upstream.requests()).hasSize(1);
		}
	}

	@Test
	void refusesAllRequestsOnceTheOnlyOrganisationHasNoKeys() throws Exception {
		try (ScriptedUpstream upstream = answering(); GatewayFixture gateway = new GatewayFixture(upstream)) {
			gateway.access(Access.ofOrganisations(List.of(WITHOUT_KEYS)));
			assertThat(statuses(gateway)).containsExactly(401, 401, 401).inOrder();
		}
	}

	@Test
	void needsNoKeyButRefusesUnknownOnesWithoutAListOfOrganisations() throws Exception {
		try (ScriptedUpstream upstream = answering(); GatewayFixture gateway = new GatewayFixture(upstream)) {
			gateway.access(Access.ofEveryone());
			assertThat(statuses(gateway)).containsExactly(401, 401, 200).inOrder();
		}
	}

}
