package io.bulrushrouter.gateway.forward;

import java.io.IOException;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.concurrent.TimeUnit;

import org.junit.jupiter.api.Assertions;
import org.junit.jupiter.api.Test;

import static com.google.common.truth.Truth.assertThat;

/**
 * Guards against sound responses that are cut because their callers read slowly, and
 * against memory without bound for them.
 */
class SlowReaderTests {

	private static final String HEAD = "HTTP/1.1 200 OK\r\nX-Attempt: id-1\r\nX-Stamp: s\r\n";

	private static final int EVENTS = 1_000;

	private static final String FILL = "x".repeat(1_000);

	private static String event(int id) {
		return "id: " + id + "\ndata: " + FILL + "\n\n";
	}

	private static void stream(String request, ScriptedUpstream.Reply reply) throws IOException {
		int from = request.contains("Last-Event-Id: ")
				? Integer.parseInt(request.replaceAll("(?s).*Last-Event-Id: (\\d+).*", "$1")) + 1 : 1;
		reply.write(HEAD + "Transfer-Encoding: chunked\r\n\r\n");
		for (int id = from; id <= EVENTS; id++) {
			reply.write(StreamText.chunk(event(id)));
		}
		reply.write("0\r\n\r\n");
	}

	private static void awaitHeld(GatewayFixture gateway, long bytes) throws Exception {
		while (gateway.read(GatewayContext::heldBytes) < bytes) {
			Thread.onSpinWait();
		}
	}

	// Waits until the queues are full and no upstream is read.
	private static void awaitPaused(GatewayFixture gateway) throws Exception {
		long before = -1;
		long held = gateway.read(GatewayContext::heldBytes);
		while (held != before) {
			TimeUnit.MILLISECONDS.sleep(200);
			before = held;
			held = gateway.read(GatewayContext::heldBytes);
		}
	}

	private static void assertComplete(String response) {
		assertThat(response.endsWith("\r\n0\r\n\r\n")).isTrue();
		assertThat(response.split("\ndata: ", -1)).hasLength(EVENTS + 1);
	}

	@Test
	void neverCutsTheEndOfAResponseThatItsCallerReadsSlowly() throws Exception {
		String body = "z".repeat(80_000);
		try (ScriptedUpstream upstream = ScriptedUpstream.start(
				(number, request, reply) -> reply.write(HEAD + "Content-Length: " + body.length() + "\r\n\r\n" + body));
				GatewayFixture gateway = new GatewayFixture(upstream);
				GatewayFixture.Caller caller = gateway.slowCaller()) {
			caller.get("/read/x", "Connection: close\r\n");
			while (upstream.requests().isEmpty() || gateway.read(GatewayContext::inFlight) > 0) {
				Thread.onSpinWait();
			}
			// Longer than the gateway lingers on a connection that it closes.
			TimeUnit.MILLISECONDS.sleep(600);
			assertThat(gateway.read(GatewayContext::heldBytes)).isGreaterThan(0);
			String response = caller.readToEnd();
			assertThat(response.endsWith("\r\n0\r\n\r\n")).isTrue();
			assertThat(StreamText.events(response).chars().filter((letter) -> letter == 'z').count())
				.isEqualTo(body.length());
		}
	}

	@Test
	void holdsLittleForManyCallersThatReadNothingAndThenAll() throws Exception {
		try (ScriptedUpstream upstream = ScriptedUpstream.start((number, request, reply) -> stream(request, reply));
				GatewayFixture gateway = new GatewayFixture(upstream)) {
			List<GatewayFixture.Caller> callers = new ArrayList<>();
			for (int index = 0; index < 8; index++) {
				callers.add(gateway.slowCaller().get("/stream/" + index, "Connection: close\r\n"));
			}
			awaitHeld(gateway, 200_000);
			for (GatewayFixture.Caller caller : callers) {
				assertThat(gateway.read(GatewayContext::heldBytes)).isAtMost(1L << 20);
				assertComplete(caller.readToEnd());
				caller.close();
			}
			assertThat(gateway.read(GatewayContext::cutReaders)).isEqualTo(0);
			assertThat(gateway.read(GatewayContext::heldBytes)).isEqualTo(0);
		}
	}

	// A single failure shows in the cost of the upstream, two in a row eject it. Where
	// the
	// next request goes would not tell: it also depends on how fast the upstreams were.
	@Test
	void resumesStreamsThatTheirUpstreamCutUnreadAndCountsNoFailure() throws Exception {
		try (ScriptedUpstream cutting = ScriptedUpstream.start((number, request, reply) -> stream(request, reply));
				ScriptedUpstream other = ScriptedUpstream.start((number, request, reply) -> stream(request, reply));
				GatewayFixture gateway = new GatewayFixture(cutting, other);
				GatewayFixture.Caller later = gateway.caller()) {
			List<GatewayFixture.Caller> callers = new ArrayList<>();
			for (int index = 0; index < 4; index++) {
				callers.add(gateway.slowCaller().get("/stream/" + index, "Connection: close\r\n"));
			}
			awaitHeld(gateway, 200_000);
			awaitPaused(gateway);
			// Longer than the pause after which a loss counts as a cut.
			TimeUnit.MILLISECONDS.sleep(1_300);
			assertThat(cutting.requests().size()).isAtLeast(2);
			cutting.resetConnections();
			for (GatewayFixture.Caller caller : callers) {
				assertComplete(caller.readToEnd());
				caller.close();
			}
			assertThat(other.requests()).hasSize(4);
			assertThat(gateway.connectionsChecked()).isTrue();
			assertThat(gateway.explain(Map.of("host", "test", "path", "/stream/", "key", GatewayFixture.KEY)))
				.containsMatch("upstream=up-a .* excluded=none in-flight=0 .* failure-cost=0\\.00 ");
			assertComplete(later.get("/stream/later", "Connection: close\r\n").readToEnd());
		}
	}

	// The end of the connection may be the upstream's cut, so it must not pass for the
	// end
	// of the response.
	@Test
	void neverCompletesAnUnframedResponseThatWasNotReadForLong() throws Exception {
		try (ScriptedUpstream upstream = ScriptedUpstream
			.start((number, request, reply) -> reply.write(HEAD + "\r\n" + FILL.repeat(400)).close());
				GatewayFixture gateway = new GatewayFixture(upstream);
				GatewayFixture.Caller caller = gateway.slowCaller()) {
			caller.get("/read/x", "Connection: close\r\n");
			awaitHeld(gateway, 50_000);
			TimeUnit.MILLISECONDS.sleep(1_300);
			assertThat(caller.readToEnd().endsWith("\r\n0\r\n\r\n")).isFalse();
		}
	}

	@Test
	void cutsTheCallerThatHasReadNothingForLongestAndRefusesRequestsAtTheBound() throws Exception {
		try (ScriptedUpstream upstream = ScriptedUpstream.start((number, request, reply) -> stream(request, reply));
				GatewayFixture gateway = new GatewayFixture(upstream);
				GatewayFixture.Caller first = gateway.slowCaller();
				GatewayFixture.Caller second = gateway.slowCaller();
				GatewayFixture.Caller late = gateway.caller()) {
			first.get("/stream/first", "Connection: close\r\n");
			awaitHeld(gateway, 60_000);
			second.get("/stream/second", "Connection: close\r\n");
			awaitHeld(gateway, 120_000);
			awaitPaused(gateway);
			gateway.bound(100_000);
			assertThat(late.get("/read/x").readResponse()).startsWith("HTTP/1.1 503");
			assertThat(upstream.requests()).hasSize(2);
			assertComplete(second.readToEnd());
			assertThat(gateway.read(GatewayContext::cutReaders)).isEqualTo(1);
			Assertions.assertThrows(IOException.class, first::readToEnd);
		}
	}

	@Test
	void endsAStreamThatOnlyTricklesBytesAndResumesItElsewhere() throws Exception {
		try (ScriptedUpstream trickling = ScriptedUpstream.start((number, request, reply) -> {
			reply.write(HEAD + "Transfer-Encoding: chunked\r\n\r\n" + StreamText.chunk(event(1)) + "fff\r\n");
			// Ends with an exception once the gateway has reset the connection.
			while (true) {
				reply.write("x");
				pause();
			}
		});
				ScriptedUpstream other = ScriptedUpstream.start((number, request, reply) -> stream(request, reply));
				GatewayFixture gateway = new GatewayFixture(trickling, other);
				GatewayFixture.Caller caller = gateway.caller()) {
			assertComplete(caller.get("/stream/x", "Connection: close\r\n").readToEnd());
			assertThat(other.requests().get(0)).contains("Last-Event-Id: 1\r\n");
		}
	}

	private static void pause() {
		try {
			TimeUnit.MILLISECONDS.sleep(100);
		}
		catch (InterruptedException ex) {
			Thread.currentThread().interrupt();
		}
	}

}
