package io.bulrushrouter.gateway.forward;

import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

import static com.google.common.truth.Truth.assertThat;

/**
 * Malformed requests that two parsers could read differently, which allows request
 * smuggling, and requests over a size limit.
 */
class MalformedRequestTests {

	private static final String HEAD_START = "POST /write/x HTTP/1.1\r\nHost: test\r\nX-Key: secret\r\nX-Attempt: id-1\r\n";

	private static ScriptedUpstream resettingUpstream() throws Exception {
		return ScriptedUpstream.start((number, request, reply) -> reply.reset());
	}

	@ParameterizedTest
	@ValueSource(strings = { "Content-Length: 5\r\nContent-Length: 6\r\n\r\nhello",
			"Content-Length: 5\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n",
			"Transfer-Encoding: gzip, chunked\r\n\r\n0\r\n\r\n", "Content-Length: +5\r\n\r\nhello",
			"Content-Length: 5x\r\n\r\nhello", "Transfer-Encoding: chunked\r\n\r\nzz\r\nhello\r\n0\r\n\r\n",
			"X-Folded: a\r\n b\r\n\r\n", "X-Control: a\u0001b\r\n\r\n", "X Space: a\r\n\r\n", "Host: second\r\n\r\n",
			"Bad\u0000Name: a\r\n\r\n", "Transfer-Encoding: chunked\r\n\r\n5\r\nhello, more\r\n0\r\n\r\n",
			"Transfer-Encoding: chunked\r\n\r\n6\r\nhello\r\n0\r\n\r\n",
			"Transfer-Encoding: chunked\r\n\r\n5 \r\nhello\r\n0\r\n\r\n",
			"Transfer-Encoding: chunked\r\n\r\n5\nhello\r\n0\r\n\r\n", "Content-Length: 5\n\r\nhello",
			"X-Folded: a\r\n\tb\r\n\r\n", "Transfer-Encoding: chunked, chunked\r\n\r\n0\r\n\r\n" })
	void refusesMalformedRequestsAndClosesTheConnection(String headRemainder) throws Exception {
		try (ScriptedUpstream upstream = resettingUpstream();
				GatewayFixture gateway = new GatewayFixture(upstream);
				GatewayFixture.Caller caller = gateway.caller()) {
			String response = caller.send(HEAD_START + headRemainder).readToEnd();
			assertThat(response).startsWith("HTTP/1.1 400");
			assertThat(response.split("HTTP/1.1", -1)).hasLength(2);
			assertThat(upstream.requests()).isEmpty();
		}
	}

	// Guards against a request that a chunk size above 32 bits smuggles behind another.
	@Test
	void neverForwardsARequestBehindAChunkWhoseSizeOverflows() throws Exception {
		String smuggled = "\r\n0\r\n\r\nPOST /write/inner HTTP/1.1\r\nHost: test\r\nX-Key: secret\r\nContent-Length: 0\r\n\r\n";
		try (ScriptedUpstream upstream = resettingUpstream();
				GatewayFixture gateway = new GatewayFixture(upstream);
				GatewayFixture.Caller caller = gateway.caller()) {
			String response = caller
				.send(HEAD_START + "Transfer-Encoding: chunked\r\n\r\n100000005\r\nhello" + smuggled)
				.readToEnd();
			assertThat(response).startsWith("HTTP/1.1 400");
			assertThat(upstream.requests()).isEmpty();
		}
	}

	@Test
	void refusesARequestWhoseHeadIsTooLong() throws Exception {
		try (ScriptedUpstream upstream = resettingUpstream();
				GatewayFixture gateway = new GatewayFixture(upstream);
				GatewayFixture.Caller caller = gateway.caller()) {
			assertThat(caller.send(HEAD_START + "X-Long: " + "a".repeat(5_000) + "\r\n\r\n").readToEnd())
				.startsWith("HTTP/1.1 431");
		}
	}

	@Test
	void refusesARequestWhoseBodyIsTooLong() throws Exception {
		try (ScriptedUpstream upstream = resettingUpstream();
				GatewayFixture gateway = new GatewayFixture(upstream);
				GatewayFixture.Caller declared = gateway.caller();
				GatewayFixture.Caller chunked = gateway.caller()) {
			assertThat(declared.send(HEAD_START + "Content-Length: 10001\r\n\r\n").readToEnd())
				.startsWith("HTTP/1.1 413");
			String chunk = "2710\r\n" + "a".repeat(10_000) + "\r\n";
			assertThat(chunked.send(HEAD_START + "Transfer-Encoding: chunked\r\n\r\n" + chunk + chunk).readToEnd())
				.startsWith("HTTP/1.1 413");
			assertThat(upstream.requests()).isEmpty();
		}
	}

	@Test
	void forwardsARequestInsideABodyAsPartOfTheBody() throws Exception {
		String inner = "GET /read/inner HTTP/1.1\r\nHost: test\r\n\r\n";
		try (ScriptedUpstream upstream = ScriptedUpstream.start((number, request,
				reply) -> reply.write("HTTP/1.1 200 OK\r\nX-Attempt: id-1\r\nX-Stamp: s\r\nContent-Length: 0\r\n\r\n"));
				GatewayFixture gateway = new GatewayFixture(upstream);
				GatewayFixture.Caller caller = gateway.caller()) {
			assertThat(caller.post("/write/x", inner).readResponse()).startsWith("HTTP/1.1 200");
			assertThat(upstream.requests()).hasSize(1);
			assertThat(upstream.requests().get(0)).endsWith(inner);
		}
	}

}
