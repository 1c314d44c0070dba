package io.bulrushrouter.gateway.forward;

import java.io.IOException;
import java.net.SocketTimeoutException;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;

import org.junit.jupiter.api.Test;

import static com.google.common.truth.Truth.assertThat;

/**
 * Streams to an upstream whose instance is suspended while its kernel keeps accepting
 * connections and requests.
 */
class SuspendedUpstreamTests {

	private static final int CALLERS = 10;

	/** How long a caller waits for the next event of a stream. */
	private static final int PATIENCE_MILLIS = 2_000;

	private static final int MAX_REQUESTS_AFTER_RESUMPTION = 10_000;

	private static final Duration ROUTE_TIMEOUT = Duration.ofSeconds(15);

	private static final String STREAM = "HTTP/1.1 200 OK\r\nX-Attempt: id-1\r\nX-Stamp: s\r\n"
			+ "Content-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\nf\r\nid: 1\ndata: x\n\n\r\n0\r\n\r\n";

	private static void respond(int number, String request, ScriptedUpstream.Reply reply) throws IOException {
		reply.write(STREAM);
	}

	@Test
	void neverDeliversRequestsOfDepartedCallersToAnUpstreamThatResumes() throws Exception {
		try (ScriptedUpstream suspended = ScriptedUpstream.startSuspended(SuspendedUpstreamTests::respond);
				ScriptedUpstream running = ScriptedUpstream.start(SuspendedUpstreamTests::respond);
				GatewayFixture gateway = new GatewayFixture(ROUTE_TIMEOUT, suspended, running)) {
			List<String> departed = callersThatLeave(gateway);
			suspended.resume();
			// A request of a caller that stays shows that all earlier ones have arrived.
			assertThat(firstRequestAfterResumption(gateway, suspended)).isTrue();
			List<String> served = suspended.requests()
				.stream()
				.filter((request) -> startsWithAny(request, departed))
				.toList();
			assertThat(served).isEmpty();
			assertThat(departed).isEmpty();
		}
	}

	private static List<String> callersThatLeave(GatewayFixture gateway) throws IOException {
		List<GatewayFixture.Caller> callers = new ArrayList<>();
		for (int index = 0; index < CALLERS; index++) {
			callers.add(gateway.caller().patience(PATIENCE_MILLIS).get("/stream/" + index + "/"));
		}
		List<String> departed = new ArrayList<>();
		for (int index = 0; index < CALLERS; index++) {
			try (GatewayFixture.Caller caller = callers.get(index)) {
				caller.readUntil("0\r\n\r\n");
			}
			catch (SocketTimeoutException ex) {
				departed.add("GET /stream/" + index + "/ ");
			}
		}
		return departed;
	}

	private static boolean firstRequestAfterResumption(GatewayFixture gateway, ScriptedUpstream upstream)
			throws IOException {
		for (int index = 0; index < MAX_REQUESTS_AFTER_RESUMPTION; index++) {
			try (GatewayFixture.Caller caller = gateway.caller()) {
				caller.get("/stream/after/").readUntil("0\r\n\r\n");
			}
			if (upstream.requests().stream().anyMatch((request) -> request.startsWith("GET /stream/after/ "))) {
				return true;
			}
		}
		return false;
	}

	private static boolean startsWithAny(String request, List<String> prefixes) {
		return prefixes.stream().anyMatch(request::startsWith);
	}

}
