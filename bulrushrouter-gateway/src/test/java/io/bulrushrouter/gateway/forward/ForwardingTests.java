package io.bulrushrouter.gateway.forward;

import java.io.IOException;
import java.time.Duration;
import java.util.Locale;

import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

import static com.google.common.truth.Truth.assertThat;

/**
 * Requests and answers on their way, with upstreams that fail in all ways that they may.
 */
class ForwardingTests {

	private static final String OK = "HTTP/1.1 200 OK\r\nX-Attempt: id-1\r\nX-Stamp: s\r\nContent-Length: 5\r\n\r\nhello";

	private static final String FULL = "HTTP/1.1 503 Full\r\nX-Not-Run: 1\r\nContent-Length: 0\r\n\r\n";

	private static ScriptedUpstream answering(String answer) throws IOException {
		return ScriptedUpstream.start((number, request, reply) -> reply.write(answer));
	}

	@Test
	void passesARequestOnWithoutItsKeyAndWithWhatTheUpstreamNeeds() throws Exception {
		try (ScriptedUpstream upstream = answering(OK);
				GatewayFixture gateway = new GatewayFixture(upstream);
				GatewayFixture.Caller caller = gateway.caller()) {
			caller.send("POST /write/x?a=1 HTTP/1.1\r\nHost: test\r\nX-Key: secret\r\nX-Attempt: id-1\r\n"
					+ "X-Organisation: forged\r\nX-Deadline: 900\r\nX-Other: kept\r\nConnection: X-Hop\r\nX-Hop: no\r\n"
					+ "Content-Length: 4\r\n\r\nbody");
			assertThat(caller.answer()).contains("hello");
			String passed = upstream.requests().get(0);
			assertThat(passed).startsWith("POST /write/x?a=1 HTTP/1.1\r\n");
			assertThat(passed).endsWith("\r\n\r\nbody");
			assertThat(passed).contains("X-Organisation: bakers\r\n");
			assertThat(passed).contains("X-Expected: up-a\r\n");
			assertThat(passed).contains("X-Other: kept\r\n");
			assertThat(passed).doesNotContain("secret");
			assertThat(passed).doesNotContain("forged");
			assertThat(passed).doesNotContain("X-Hop");
			int left = Integer.parseInt(passed.replaceAll("(?s).*X-Deadline: (\\d+).*", "$1"));
			assertThat(left).isAtMost(900);
		}
	}

	@Test
	void returnsTheAnswerOfTheUpstreamUnchanged() throws Exception {
		try (ScriptedUpstream upstream = answering(
				"HTTP/1.1 404 Nothing\r\nX-Attempt: id-1\r\nX-Stamp: s\r\nContent-Length: 3\r\n\r\nwhy");
				GatewayFixture gateway = new GatewayFixture(upstream);
				GatewayFixture.Caller caller = gateway.caller()) {
			String answer = caller.post("/write/x", "b").answer();
			assertThat(answer).startsWith("HTTP/1.1 404");
			assertThat(answer).contains("X-Stamp: s\r\n");
			assertThat(answer).endsWith("\r\n\r\nwhy");
		}
	}

	@Test
	void triesAnotherUpstreamWhenTheFirstHasNotRunIt() throws Exception {
		try (ScriptedUpstream full = answering(FULL);
				ScriptedUpstream free = answering(OK);
				GatewayFixture gateway = new GatewayFixture(full, free);
				GatewayFixture.Caller caller = gateway.caller()) {
			assertThat(caller.post("/write/x", "b").answer()).contains("hello");
			assertThat(full.requests()).hasSize(1);
			assertThat(free.requests()).hasSize(1);
		}
	}

	@Test
	void saysNotRunWithATimeToComeBackWhenNoUpstreamRanIt() throws Exception {
		try (ScriptedUpstream one = answering(FULL);
				ScriptedUpstream other = answering(FULL);
				GatewayFixture gateway = new GatewayFixture(one, other);
				GatewayFixture.Caller caller = gateway.caller()) {
			String answer = caller.post("/write/x", "b").answer();
			assertThat(answer).startsWith("HTTP/1.1 503");
			assertThat(answer.toLowerCase(Locale.ROOT)).contains("retry-after: 0.");
			assertThat(answer).contains("not-run");
		}
	}

	@Test
	void neverRepeatsWhatMayHaveRun() throws Exception {
		try (ScriptedUpstream broken = ScriptedUpstream.start((number, request, reply) -> reply.reset());
				ScriptedUpstream free = answering(OK);
				GatewayFixture gateway = new GatewayFixture(broken, free);
				GatewayFixture.Caller caller = gateway.caller()) {
			String answer = caller.post("/write/x", "b").answer();
			assertThat(answer).startsWith("HTTP/1.1 502");
			assertThat(answer).contains("may-have-run");
			assertThat(free.requests()).isEmpty();
		}
	}

	@Test
	void repeatsAnIdempotentRequestWhoseAnswerWasLost() throws Exception {
		try (ScriptedUpstream broken = ScriptedUpstream.start((number, request, reply) -> reply.reset());
				ScriptedUpstream free = answering(OK);
				GatewayFixture gateway = new GatewayFixture(broken, free);
				GatewayFixture.Caller caller = gateway.caller()) {
			assertThat(caller.get("/read/x").answer()).contains("hello");
		}
	}

	@ParameterizedTest
	@ValueSource(strings = {
			// Truncated, of another request, without a stamp, encoded, not HTTP at all.
			"HTTP/1.1 200 OK\r\nX-Attempt: id-1\r\nX-Stamp: s\r\nContent-Length: 50\r\n\r\nhel",
			"HTTP/1.1 200 OK\r\nX-Attempt: id-9\r\nX-Stamp: s\r\nContent-Length: 5\r\n\r\nother",
			"HTTP/1.1 200 OK\r\nX-Attempt: id-1\r\nContent-Length: 5\r\n\r\nhello",
			"HTTP/1.1 200 OK\r\nX-Attempt: id-1\r\nX-Stamp: s\r\nContent-Encoding: gzip\r\nContent-Length: 2\r\n\r\nzz",
			"HTTP/1.1 200 OK\r\nX-Attempt: id-1\r\nX-Stamp: s\r\nTransfer-Encoding: chunked\r\n\r\n5\r\nhello\r\nzz\r\n",
			"\u0000\u0001\u0002 garbage\r\n\r\n" })
	void neverPassesABadAnswerOnAsASuccess(String bad) throws Exception {
		try (ScriptedUpstream broken = ScriptedUpstream.start((number, request, reply) -> reply.write(bad).end());
				GatewayFixture gateway = new GatewayFixture(broken);
				GatewayFixture.Caller caller = gateway.caller()) {
			String answer = caller.post("/write/x", "b").answer();
			assertThat(answer).startsWith("HTTP/1.1 502");
			assertThat(answer).doesNotContain("X-Stamp");
		}
	}

	@Test
	void takesNoExtraAnswerForThatOfTheNextRequest() throws Exception {
		String extra = OK.replace("hello", "extra");
		try (ScriptedUpstream upstream = ScriptedUpstream
			.start((number, request, reply) -> reply.write((number == 1) ? OK + extra : OK));
				GatewayFixture gateway = new GatewayFixture(upstream);
				GatewayFixture.Caller caller = gateway.caller()) {
			assertThat(caller.get("/read/1").answer()).contains("hello");
			assertThat(caller.get("/read/2").answer()).contains("hello");
			assertThat(upstream.connections()).isEqualTo(2);
		}
	}

	@Test
	void takesARefusalOnAUsedConnectionForItsOwnOnlyIfItNamesTheRequest() throws Exception {
		try (ScriptedUpstream upstream = ScriptedUpstream
			.start((number, request, reply) -> reply.write((number == 1) ? OK : FULL));
				GatewayFixture gateway = new GatewayFixture(upstream);
				GatewayFixture.Caller caller = gateway.caller()) {
			assertThat(caller.get("/read/1").answer()).contains("hello");
			assertThat(caller.get("/read/2").answer()).startsWith("HTTP/1.1 502");
		}
	}

	@Test
	void sendsWhatMayRunOnlyOnceOnANewConnection() throws Exception {
		try (ScriptedUpstream upstream = answering(OK);
				GatewayFixture gateway = new GatewayFixture(upstream);
				GatewayFixture.Caller caller = gateway.caller()) {
			assertThat(caller.get("/read/1").answer()).contains("hello");
			assertThat(caller.post("/write/2", "b").answer()).contains("hello");
			assertThat(upstream.connections()).isEqualTo(2);
		}
	}

	@Test
	void answersAtTheTimeoutOfTheRoute() throws Exception {
		try (ScriptedUpstream silent = ScriptedUpstream.start((number, request, reply) -> {
		});
				GatewayFixture gateway = new GatewayFixture(Duration.ofMillis(300), silent);
				GatewayFixture.Caller caller = gateway.caller()) {
			String answer = caller.post("/write/x", "b").answer();
			assertThat(answer).startsWith("HTTP/1.1 504");
			assertThat(answer).contains("deadline-exceeded");
		}
	}

	@Test
	void refusesWhatTheConfigurationDoesNotKnow() throws Exception {
		try (GatewayFixture gateway = new GatewayFixture(); GatewayFixture.Caller caller = gateway.caller()) {
			assertThat(caller.get("/none/").answer()).startsWith("HTTP/1.1 404");
			assertThat(caller.send("GET /read/ HTTP/1.1\r\nHost: test\r\nX-Key: wrong\r\n\r\n").answer())
				.startsWith("HTTP/1.1 401");
		}
	}

	@Test
	void isReadyOnlyWhileKeysAreKnownToBeValid() throws Exception {
		try (GatewayFixture gateway = new GatewayFixture()) {
			assertThat(gateway.ready()).isTrue();
			gateway.proofAge(4_200);
			assertThat(gateway.ready()).isTrue();
			gateway.proofAge(4_300);
			assertThat(gateway.ready()).isFalse();
			gateway.proofAge(100);
			assertThat(gateway.ready()).isTrue();
		}
	}

	@Test
	void asksToComeBackWhenTheConfigurationMayBeOld() throws Exception {
		try (ScriptedUpstream upstream = answering(OK);
				GatewayFixture gateway = new GatewayFixture(upstream);
				GatewayFixture.Caller caller = gateway.caller()) {
			gateway.proofAge(4_000);
			assertThat(caller.get("/none/").answer()).startsWith("HTTP/1.1 503");
			assertThat(caller.get("/read/").answer()).contains("hello");
			gateway.proofAge(4_400);
			assertThat(caller.get("/read/").answer()).startsWith("HTTP/1.1 503");
			assertThat(upstream.requests()).hasSize(1);
		}
	}

}
