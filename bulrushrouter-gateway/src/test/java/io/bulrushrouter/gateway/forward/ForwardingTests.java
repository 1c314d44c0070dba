package io.bulrushrouter.gateway.forward;

import java.io.IOException;
import java.time.Duration;
import java.util.Locale;

import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

import static com.google.common.truth.Truth.assertThat;

/**
 * Forwarding of requests and responses, with upstreams that fail before, during and after
 * their response.
 */
class ForwardingTests {

	private static final String OK = "HTTP/1.1 200 OK\r\nX-Attempt: id-1\r\nX-Stamp: s\r\nContent-Length: 5\r\n\r\nhello";

	private static final String READ_2 = "GET /read/2 HTTP/1.1\r\nHost: test\r\nX-Key: " + GatewayFixture.KEY
			+ "\r\nX-Attempt: id-2\r\n\r\n";

	private static final String OVERLOADED = "HTTP/1.1 503 Full\r\nX-Not-Run: 1\r\nContent-Length: 0\r\n\r\n";

	private static ScriptedUpstream respondingWith(String response) throws IOException {
		return ScriptedUpstream.start((number, request, reply) -> reply.write(response));
	}

	@Test
	void forwardsARequestWithoutItsKeyAndWithTheHeadersForTheUpstream() throws Exception {
		try (ScriptedUpstream upstream = respondingWith(OK);
				GatewayFixture gateway = new GatewayFixture(upstream);
				GatewayFixture.Caller caller = gateway.caller()) {
			caller.send("POST /write/x?a=1 HTTP/1.1\r\nHost: test\r\nX-Key: secret\r\nX-Attempt: id-1\r\n"
					+ "X-Organisation: forged\r\nX-Deadline: 900\r\nX-Other: kept\r\nConnection: X-Hop\r\nX-Hop: no\r\n"
					+ "Content-Length: 4\r\n\r\nbody");
			assertThat(caller.readResponse()).contains("hello");
			String forwarded = upstream.requests().get(0);
			assertThat(forwarded).startsWith("POST /write/x?a=1 HTTP/1.1\r\n");
			assertThat(forwarded).endsWith("\r\n\r\nbody");
			assertThat(forwarded).contains("X-Organisation: bakers\r\n");
			assertThat(forwarded).contains("X-Expected: up-a\r\n");
			assertThat(forwarded).contains("X-Other: kept\r\n");
			assertThat(forwarded).doesNotContain("secret");
			assertThat(forwarded).doesNotContain("forged");
			assertThat(forwarded).doesNotContain("X-Hop");
			int remainingMillis = Integer.parseInt(forwarded.replaceAll("(?s).*X-Deadline: (\\d+).*", "$1"));
			assertThat(remainingMillis).isAtMost(900);
		}
	}

	@Test
	void returnsTheResponseOfTheUpstreamUnchanged() throws Exception {
		try (ScriptedUpstream upstream = respondingWith(
				"HTTP/1.1 404 Nothing\r\nX-Attempt: id-1\r\nX-Stamp: s\r\nContent-Length: 3\r\n\r\nwhy");
				GatewayFixture gateway = new GatewayFixture(upstream);
				GatewayFixture.Caller caller = gateway.caller()) {
			String response = caller.post("/write/x", "b").readResponse();
			assertThat(response).startsWith("HTTP/1.1 404");
			assertThat(response).contains("X-Stamp: s\r\n");
			assertThat(response).endsWith("\r\n\r\nwhy");
		}
	}

	@Test
	void retriesAtAnotherUpstreamWhenTheFirstHasNotRunTheRequest() throws Exception {
		try (ScriptedUpstream overloaded = respondingWith(OVERLOADED);
				ScriptedUpstream free = respondingWith(OK);
				GatewayFixture gateway = new GatewayFixture(overloaded, free);
				GatewayFixture.Caller caller = gateway.caller()) {
			assertThat(caller.post("/write/x", "b").readResponse()).contains("hello");
			assertThat(overloaded.requests()).hasSize(1);
			assertThat(free.requests()).hasSize(1);
		}
	}

	@Test
	void respondsNotRunWithRetryAfterWhenNoUpstreamRanTheRequest() throws Exception {
		try (ScriptedUpstream first = respondingWith(OVERLOADED);
				ScriptedUpstream second = respondingWith(OVERLOADED);
				GatewayFixture gateway = new GatewayFixture(first, second);
				GatewayFixture.Caller caller = gateway.caller()) {
			String response = caller.post("/write/x", "b").readResponse();
			assertThat(response).startsWith("HTTP/1.1 503");
			assertThat(response.toLowerCase(Locale.ROOT)).contains("retry-after: 0.");
			assertThat(response).contains("not-run");
		}
	}

	@Test
	void neverRetriesANonIdempotentRequestThatMayHaveRun() throws Exception {
		try (ScriptedUpstream broken = ScriptedUpstream.start((number, request, reply) -> reply.reset());
				ScriptedUpstream free = respondingWith(OK);
				GatewayFixture gateway = new GatewayFixture(broken, free);
				GatewayFixture.Caller caller = gateway.caller()) {
			String response = caller.post("/write/x", "b").readResponse();
			assertThat(response).startsWith("HTTP/1.1 502");
			assertThat(response).contains("may-have-run");
			assertThat(free.requests()).isEmpty();
		}
	}

	@Test
	void retriesAnIdempotentRequestWhoseResponseWasLost() throws Exception {
		try (ScriptedUpstream broken = ScriptedUpstream.start((number, request, reply) -> reply.reset());
				ScriptedUpstream free = respondingWith(OK);
				GatewayFixture gateway = new GatewayFixture(broken, free);
				GatewayFixture.Caller caller = gateway.caller()) {
			assertThat(caller.get("/read/x").readResponse()).contains("hello");
		}
	}

	@ParameterizedTest
	@ValueSource(strings = {
			// Truncated, of another request, without a stamp, with a content coding, with
			// a malformed chunk, not HTTP at all.
			"HTTP/1.1 200 OK\r\nX-Attempt: id-1\r\nX-Stamp: s\r\nContent-Length: 50\r\n\r\nhel",
			"HTTP/1.1 200 OK\r\nX-Attempt: id-9\r\nX-Stamp: s\r\nContent-Length: 5\r\n\r\nother",
			"HTTP/1.1 200 OK\r\nX-Attempt: id-1\r\nContent-Length: 5\r\n\r\nhello",
			"HTTP/1.1 200 OK\r\nX-Attempt: id-1\r\nX-Stamp: s\r\nContent-Encoding: gzip\r\nContent-Length: 2\r\n\r\nzz",
			"HTTP/1.1 200 OK\r\nX-Attempt: id-1\r\nX-Stamp: s\r\nTransfer-Encoding: chunked\r\n\r\n5\r\nhello\r\nzz\r\n",
			"\u0000\u0001\u0002 garbage\r\n\r\n" })
	void neverForwardsAnInvalidResponseAsASuccess(String invalid) throws Exception {
		try (ScriptedUpstream broken = ScriptedUpstream.start((number, request, reply) -> reply.write(invalid).close());
				GatewayFixture gateway = new GatewayFixture(broken);
				GatewayFixture.Caller caller = gateway.caller()) {
			String response = caller.post("/write/x", "b").readResponse();
			assertThat(response).startsWith("HTTP/1.1 502");
			assertThat(response).doesNotContain("X-Stamp");
		}
	}

	@Test
	void neverUsesAnExtraResponseForTheNextRequest() throws Exception {
		String extra = OK.replace("hello", "extra");
		try (ScriptedUpstream upstream = ScriptedUpstream
			.start((number, request, reply) -> reply.write((number == 1) ? OK + extra : OK.replace("id-1", "id-2")));
				GatewayFixture gateway = new GatewayFixture(upstream);
				GatewayFixture.Caller caller = gateway.caller()) {
			assertThat(caller.get("/read/1").readResponse()).contains("hello");
			assertThat(caller.send(READ_2).readResponse()).contains("hello");
			assertThat(upstream.connections()).isEqualTo(2);
		}
	}

	@Test
	void trustsARefusalOnAReusedConnectionOnlyIfItNamesTheRequest() throws Exception {
		try (ScriptedUpstream upstream = ScriptedUpstream
			.start((number, request, reply) -> reply.write((number == 1) ? OK : OVERLOADED));
				GatewayFixture gateway = new GatewayFixture(upstream);
				GatewayFixture.Caller caller = gateway.caller()) {
			assertThat(caller.get("/read/1").readResponse()).contains("hello");
			assertThat(caller.send(READ_2).readResponse()).startsWith("HTTP/1.1 502");
			assertThat(upstream.connections()).isEqualTo(1);
		}
	}

	@Test
	void sendsANonIdempotentRequestOnANewConnection() throws Exception {
		try (ScriptedUpstream upstream = ScriptedUpstream
			.start((number, request, reply) -> reply.write((number == 1) ? OK.replace("id-1", "id-2") : OK));
				GatewayFixture gateway = new GatewayFixture(upstream);
				GatewayFixture.Caller caller = gateway.caller()) {
			assertThat(caller.send(READ_2).readResponse()).contains("hello");
			assertThat(caller.post("/write/2", "b").readResponse()).contains("hello");
			assertThat(upstream.connections()).isEqualTo(2);
		}
	}

	@Test
	void respondsAtTheTimeoutOfTheRoute() throws Exception {
		try (ScriptedUpstream silent = ScriptedUpstream.start((number, request, reply) -> {
		});
				GatewayFixture gateway = new GatewayFixture(Duration.ofMillis(300), silent);
				GatewayFixture.Caller caller = gateway.caller()) {
			String response = caller.post("/write/x", "b").readResponse();
			assertThat(response).startsWith("HTTP/1.1 504");
			assertThat(response).contains("deadline-exceeded");
		}
	}

	@Test
	void refusesUnknownRoutesAndKeys() throws Exception {
		try (GatewayFixture gateway = new GatewayFixture(); GatewayFixture.Caller caller = gateway.caller()) {
			assertThat(caller.get("/none/").readResponse()).startsWith("HTTP/1.1 404");
			assertThat(caller.send("GET /read/ HTTP/1.1\r\nHost: test\r\nX-Key: wrong\r\n\r\n").readResponse())
				.startsWith("HTTP/1.1 401");
		}
	}

	@Test
	void isReadyOnlyWhileKeysAreKnownToBeValid() throws Exception {
		try (GatewayFixture gateway = new GatewayFixture()) {
			assertThat(gateway.ready()).isTrue();
			gateway.setProofAge(4_200);
			assertThat(gateway.ready()).isTrue();
			gateway.setProofAge(4_300);
			assertThat(gateway.ready()).isFalse();
			gateway.setProofAge(100);
			assertThat(gateway.ready()).isTrue();
		}
	}

	@Test
	void asksForARetryWhenTheConfigurationMayBeStale() throws Exception {
		try (ScriptedUpstream upstream = respondingWith(OK);
				GatewayFixture gateway = new GatewayFixture(upstream);
				GatewayFixture.Caller caller = gateway.caller()) {
			gateway.setProofAge(4_000);
			assertThat(caller.get("/none/").readResponse()).startsWith("HTTP/1.1 503");
			assertThat(caller.get("/read/").readResponse()).contains("hello");
			gateway.setProofAge(4_400);
			assertThat(caller.get("/read/").readResponse()).startsWith("HTTP/1.1 503");
			assertThat(upstream.requests()).hasSize(1);
		}
	}

	/**
	 * Guards against a retry that is late because its caller waited, although another
	 * entry could have served it, and against a caller that stays with an entry that
	 * refuses its requests.
	 */
	@Test
	void sendsCallersToOtherEntriesAtOnceWhileKeysCannotBeVerified() throws Exception {
		try (ScriptedUpstream upstream = respondingWith(OK);
				GatewayFixture gateway = new GatewayFixture(upstream);
				GatewayFixture.Caller caller = gateway.caller()) {
			gateway.setProofAge(4_400);
			String refusal = caller.get("/read/").readToEnd();
			assertThat(refusal).startsWith("HTTP/1.1 503");
			assertThat(refusal.toLowerCase()).contains("connection: close");
			assertThat(retryAfterSeconds(refusal)).isGreaterThan(0.0);
			assertThat(retryAfterSeconds(refusal)).isLessThan(0.05);
			assertThat(upstream.requests()).isEmpty();
		}
	}

	private static double retryAfterSeconds(String response) {
		return response.lines()
			.filter((line) -> line.toLowerCase().startsWith("retry-after:"))
			.mapToDouble((line) -> Double.parseDouble(line.substring(line.indexOf(':') + 1)))
			.findFirst()
			.orElseThrow();
	}

}
