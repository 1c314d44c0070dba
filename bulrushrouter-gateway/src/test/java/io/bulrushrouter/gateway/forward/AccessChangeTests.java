package io.bulrushrouter.gateway.forward;

import java.io.IOException;
import java.util.List;
import java.util.OptionalInt;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;

import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

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

	private static ScriptedUpstream waiting(CompletableFuture<Void> arrived, CompletableFuture<Void> changed,
			String before, String after) throws IOException {
		return ScriptedUpstream.start((number, request, reply) -> {
			reply.write(before);
			arrived.complete(null);
			changed.orTimeout(20, TimeUnit.SECONDS).join();
			reply.write(after);
			reply.close();
		});
	}

	private static void changeWhileWaiting(GatewayFixture gateway, CompletableFuture<Void> arrived,
			CompletableFuture<Void> changed) throws Exception {
		arrived.orTimeout(20, TimeUnit.SECONDS).join();
		gateway.access(Access.ofOrganisations(List.of()));
		changed.complete(null);
	}

	@ParameterizedTest
	@CsvSource({ "HTTP/1.1 503 Full|X-Not-Run: 1|Content-Length: 0||, 401",
			"HTTP/1.1 500 Error|Content-Length: 0||, 502" })
	void neverRepeatsARequestWhoseKeyWasTakenAwayMeanwhile(String answer, int status) throws Exception {
		CompletableFuture<Void> arrived = new CompletableFuture<>();
		CompletableFuture<Void> changed = new CompletableFuture<>();
		try (ScriptedUpstream first = waiting(arrived, changed, "", answer.replace("|", "\r\n"));
				ScriptedUpstream other = answering();
				GatewayFixture gateway = new GatewayFixture(first, other);
				GatewayFixture.Caller caller = gateway.caller()) {
			caller.get("/read/x");
			changeWhileWaiting(gateway, arrived, changed);
			assertThat(caller.readResponse()).startsWith("HTTP/1.1 " + status + " ");
			assertThat(other.requests()).isEmpty();
		}
	}

	@Test
	void neverResumesAStreamWhoseKeyWasTakenAwayMeanwhile() throws Exception {
		CompletableFuture<Void> arrived = new CompletableFuture<>();
		CompletableFuture<Void> changed = new CompletableFuture<>();
		String head = "HTTP/1.1 200 OK\r\nX-Attempt: id-1\r\nX-Stamp: s\r\nTransfer-Encoding: chunked\r\n\r\n";
		try (ScriptedUpstream first = waiting(arrived, changed, head + StreamText.chunk(StreamText.event(1)), "");
				ScriptedUpstream other = answering();
				GatewayFixture gateway = new GatewayFixture(first, other);
				GatewayFixture.Caller caller = gateway.caller()) {
			caller.post("/stream/x", "b").readUntil("data: e1\n\n");
			changeWhileWaiting(gateway, arrived, changed);
			assertThat(caller.readToEnd()).doesNotContain("\r\n0\r\n\r\n");
			assertThat(other.requests()).isEmpty();
		}
	}

	@Test
	void namesTheOrganisationThatOwnsTheKeyWhenARequestIsRepeated() throws Exception {
		CompletableFuture<Void> arrived = new CompletableFuture<>();
		CompletableFuture<Void> changed = new CompletableFuture<>();
		try (ScriptedUpstream first = waiting(arrived, changed, "", "HTTP/1.1 500 Error\r\nContent-Length: 0\r\n\r\n");
				ScriptedUpstream other = answering();
				GatewayFixture gateway = new GatewayFixture(first, other);
				GatewayFixture.Caller caller = gateway.caller()) {
			caller.get("/read/x");
			arrived.orTimeout(20, TimeUnit.SECONDS).join();
			gateway.access(Access.ofOrganisations(
					List.of(new Organisation("millers", List.of(GatewayFixture.KEY), OptionalInt.empty()))));
			changed.complete(null);
			assertThat(caller.readResponse()).startsWith("HTTP/1.1 200 ");
			assertThat(other.requests().get(0)).contains("X-Organisation: millers\r\n");
		}
	}

}
