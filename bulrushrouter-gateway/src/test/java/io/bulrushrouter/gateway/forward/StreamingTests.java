package io.bulrushrouter.gateway.forward;

import java.io.IOException;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;

import org.junit.jupiter.api.Test;

import static com.google.common.truth.Truth.assertThat;

/**
 * Forwarding of event streams: events are forwarded as they arrive, a broken stream is
 * resumed within the same response, and an incomplete one never looks complete.
 */
class StreamingTests {

	private static final String HEAD = "HTTP/1.1 200 OK\r\nX-Attempt: id-1\r\nX-Stamp: s%d\r\n"
			+ "Content-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n";

	private static void writeWholeStream(ScriptedUpstream.Reply reply, int stamp, int from, int to) throws IOException {
		reply.write(HEAD.formatted(stamp));
		for (int id = from; id <= to; id++) {
			reply.write(StreamText.chunk(StreamText.event(id)));
		}
		reply.write("0\r\n\r\n");
	}

	@Test
	void forwardsEventsAsTheyArrive() throws Exception {
		try (ScriptedUpstream upstream = ScriptedUpstream.start((number, request,
				reply) -> reply.write(HEAD.formatted(1)).write(StreamText.chunk(StreamText.event(1))));
				GatewayFixture gateway = new GatewayFixture(upstream);
				GatewayFixture.Caller caller = gateway.caller()) {
			caller.post("/stream/x", "b");
			assertThat(caller.readUntil("data: e1\n\n")).contains("X-Stamp: s1");
		}
	}

	@Test
	void resumesABrokenStreamWithinTheSameResponse() throws Exception {
		try (ScriptedUpstream broken = ScriptedUpstream
			.start((number, request,
					reply) -> reply.write(HEAD.formatted(1) + StreamText.chunk(StreamText.event(1))
							+ StreamText.chunk(StreamText.event(2)) + StreamText.chunk("id: 3\nda"))
						.reset());
				ScriptedUpstream free = ScriptedUpstream
					.start((number, request, reply) -> writeWholeStream(reply, 2, 3, 4));
				GatewayFixture gateway = new GatewayFixture(broken, free);
				GatewayFixture.Caller caller = gateway.caller()) {
			String response = caller.post("/stream/x", "b").readUntil("\r\n0\r\n\r\n");
			assertThat(StreamText.events(response))
				.startsWith(StreamText.event(1) + StreamText.event(2) + StreamText.event(3) + StreamText.event(4));
			assertThat(response).contains("X-Stamp: s1");
			assertThat(response).doesNotContain("X-Stamp: s2");
			assertThat(free.requests().get(0)).contains("Last-Event-Id: 2\r\n");
		}
	}

	@Test
	void restartsAStreamThatFailedBeforeItsFirstEvent() throws Exception {
		try (ScriptedUpstream broken = ScriptedUpstream
			.start((number, request, reply) -> reply.write(HEAD.formatted(1)).reset());
				ScriptedUpstream free = ScriptedUpstream
					.start((number, request, reply) -> writeWholeStream(reply, 2, 1, 2));
				GatewayFixture gateway = new GatewayFixture(broken, free);
				GatewayFixture.Caller caller = gateway.caller()) {
			String response = caller.post("/stream/x", "b").readUntil("\r\n0\r\n\r\n");
			assertThat(StreamText.events(response)).startsWith(StreamText.event(1) + StreamText.event(2));
			assertThat(response).contains("X-Stamp: s2");
			assertThat(free.requests().get(0)).doesNotContain("Last-Event-Id");
		}
	}

	@Test
	void abortsAStreamThatCannotBeResumed() throws Exception {
		try (ScriptedUpstream broken = ScriptedUpstream.start((number, request,
				reply) -> reply.write(HEAD.formatted(1) + StreamText.chunk(StreamText.event(1))).reset());
				GatewayFixture gateway = new GatewayFixture(broken);
				GatewayFixture.Caller caller = gateway.caller()) {
			String response = caller.post("/stream/x", "b").readToEnd();
			assertThat(response).contains(StreamText.event(1));
			assertThat(response).doesNotContain("\r\n0\r\n\r\n");
		}
	}

	@Test
	void forwardsNoEventTwice() throws Exception {
		try (ScriptedUpstream broken = ScriptedUpstream.start((number, request, reply) -> reply
			.write(HEAD.formatted(1) + StreamText.chunk(StreamText.event(1)) + StreamText.chunk(StreamText.event(2)))
			.reset());
				ScriptedUpstream repeating = ScriptedUpstream
					.start((number, request, reply) -> writeWholeStream(reply, 2, 2, 4));
				GatewayFixture gateway = new GatewayFixture(broken, repeating);
				GatewayFixture.Caller caller = gateway.caller()) {
			String response = caller.post("/stream/x", "b").readToEnd();
			assertThat(response.split("data: e2", -1)).hasLength(2);
			assertThat(response).doesNotContain("\r\n0\r\n\r\n");
		}
	}

	@Test
	void cancelsTheUpstreamRequestWhenTheCallerDisconnects() throws Exception {
		CountDownLatch cancelled = new CountDownLatch(1);
		try (ScriptedUpstream upstream = ScriptedUpstream.start((number, request, reply) -> {
			reply.write(HEAD.formatted(1) + StreamText.chunk(StreamText.event(1)));
			if (reply.awaitReset()) {
				cancelled.countDown();
			}
		}); GatewayFixture gateway = new GatewayFixture(upstream)) {
			try (GatewayFixture.Caller caller = gateway.caller()) {
				caller.post("/stream/x", "b").readUntil("data: e1\n\n");
			}
			assertThat(cancelled.await(20, TimeUnit.SECONDS)).isTrue();
		}
	}

}
