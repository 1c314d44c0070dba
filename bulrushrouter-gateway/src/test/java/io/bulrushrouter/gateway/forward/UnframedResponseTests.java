package io.bulrushrouter.gateway.forward;

import java.net.SocketException;

import org.junit.jupiter.api.Test;

import static com.google.common.truth.Truth.assertThat;
import static org.junit.jupiter.api.Assertions.assertThrows;

/**
 * Responses with neither a length nor chunks, whose end is the end of the connection, and
 * streams that end inside an event.
 */
class UnframedResponseTests {

	private static final String HEAD = "HTTP/1.1 200 OK\r\nX-Attempt: id-1\r\nX-Stamp: s%d\r\n";

	private static final String STREAM_HEAD = HEAD + "Content-Type: text/event-stream\r\n";

	private static final String CHUNKED = "Transfer-Encoding: chunked\r\n";

	private static final String LAST_CHUNK = "0\r\n\r\n";

	private static ScriptedUpstream closing(String response) throws Exception {
		return ScriptedUpstream.start((number, request, reply) -> reply.write(response).close());
	}

	@Test
	void neverCompletesAStreamThatEndsInsideAnEventWithItsConnection() throws Exception {
		try (ScriptedUpstream broken = closing(
				STREAM_HEAD.formatted(1) + "\r\n" + StreamText.event(1) + "id: 2\ndata: e");
				GatewayFixture gateway = new GatewayFixture(broken);
				GatewayFixture.Caller caller = gateway.caller()) {
			String response = caller.post("/stream/x", "b").readToEnd();
			assertThat(StreamText.events(response)).isEqualTo(StreamText.event(1));
			assertThat(response).doesNotContain(LAST_CHUNK);
		}
	}

	@Test
	void resumesAStreamThatEndsInsideAnEventWithItsConnection() throws Exception {
		try (ScriptedUpstream broken = closing(
				STREAM_HEAD.formatted(1) + "\r\n" + StreamText.event(1) + "id: 2\ndata: e");
				ScriptedUpstream free = closing(
						STREAM_HEAD.formatted(2) + "\r\n" + StreamText.event(2) + StreamText.event(3));
				GatewayFixture gateway = new GatewayFixture(broken, free);
				GatewayFixture.Caller caller = gateway.caller()) {
			String response = caller.post("/stream/x", "b").readUntil("\r\n" + LAST_CHUNK);
			assertThat(StreamText.events(response))
				.startsWith(StreamText.event(1) + StreamText.event(2) + StreamText.event(3));
			assertThat(free.requests().get(0)).contains("Last-Event-Id: 1\r\n");
		}
	}

	@Test
	void neverCompletesAChunkedStreamThatEndsInsideAnEvent() throws Exception {
		try (ScriptedUpstream broken = closing(STREAM_HEAD.formatted(1) + CHUNKED + "\r\n"
				+ StreamText.chunk(StreamText.event(1) + "id: 2\nda") + LAST_CHUNK);
				GatewayFixture gateway = new GatewayFixture(broken);
				GatewayFixture.Caller caller = gateway.caller()) {
			String response = caller.post("/stream/x", "b").readToEnd();
			assertThat(StreamText.events(response)).isEqualTo(StreamText.event(1));
			assertThat(response).doesNotContain(LAST_CHUNK);
		}
	}

	@Test
	void neverCompletesAnUnframedStreamWithoutAnEvent() throws Exception {
		try (ScriptedUpstream broken = closing(STREAM_HEAD.formatted(1) + "\r\n");
				GatewayFixture gateway = new GatewayFixture(broken);
				GatewayFixture.Caller caller = gateway.caller()) {
			assertThat(caller.post("/stream/x", "b").readResponse()).startsWith("HTTP/1.1 502 ");
		}
	}

	@Test
	void completesAStreamThatEndsBetweenEventsWithItsConnection() throws Exception {
		try (ScriptedUpstream upstream = closing(
				STREAM_HEAD.formatted(1) + "\r\n" + StreamText.event(1) + StreamText.event(2));
				GatewayFixture gateway = new GatewayFixture(upstream);
				GatewayFixture.Caller caller = gateway.caller()) {
			String response = caller.post("/stream/x", "b").readUntil("\r\n" + LAST_CHUNK);
			assertThat(StreamText.events(response)).startsWith(StreamText.event(1) + StreamText.event(2));
		}
	}

	@Test
	void completesAPlainResponseThatEndsWithItsConnection() throws Exception {
		try (ScriptedUpstream upstream = closing(HEAD.formatted(1) + "\r\nwhole body");
				GatewayFixture gateway = new GatewayFixture(upstream);
				GatewayFixture.Caller caller = gateway.caller()) {
			assertThat(caller.post("/write/x", "b").readResponse()).endsWith("\r\n\r\nwhole body");
		}
	}

	@Test
	void neverCompletesAPlainResponseWhoseConnectionIsReset() throws Exception {
		try (ScriptedUpstream broken = ScriptedUpstream
			.start((number, request, reply) -> reply.write(HEAD.formatted(1) + "\r\nhalf").reset());
				GatewayFixture gateway = new GatewayFixture(broken);
				GatewayFixture.Caller caller = gateway.caller()) {
			assertThat(caller.post("/write/x", "b").readResponse()).startsWith("HTTP/1.1 502 ");
		}
	}

	@Test
	void neverEndsABrokenResponseToAnOldCallerInGoodOrder() throws Exception {
		try (ScriptedUpstream broken = ScriptedUpstream.start((number, request,
				reply) -> reply.write(STREAM_HEAD.formatted(1) + "\r\n" + StreamText.event(1)).reset());
				GatewayFixture gateway = new GatewayFixture(broken);
				GatewayFixture.Caller caller = gateway.caller()) {
			caller.send("POST /stream/x HTTP/1.0\r\nHost: test\r\nX-Key: " + GatewayFixture.KEY
					+ "\r\nX-Attempt: id-1\r\nContent-Length: 1\r\n\r\nb");
			assertThrows(SocketException.class, caller::readToEnd);
		}
	}

}
