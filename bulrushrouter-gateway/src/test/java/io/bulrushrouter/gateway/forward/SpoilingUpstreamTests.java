package io.bulrushrouter.gateway.forward;

import java.io.IOException;
import java.util.List;
import java.util.Random;
import java.util.stream.IntStream;
import java.util.stream.LongStream;

import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.MethodSource;

import io.bulrushrouter.standin.ResponseDefect;

import static com.google.common.truth.Truth.assertWithMessage;

/**
 * Callers on kept connections before upstreams that spoil a part of their responses, or
 * break them off, in segments that end anywhere. More seeds than by default are given by
 * the property {@code bulrush.seeds}.
 */
class SpoilingUpstreamTests {

	private static final int REQUESTS = 120;

	private static final int EVENTS = 6;

	private static final double SPOILED = 0.2;

	private static final double BROKEN_OFF = 0.05;

	static LongStream seeds() {
		return LongStream.rangeClosed(1, Integer.getInteger("bulrush.seeds", 6));
	}

	private static String event(String id, int number) {
		return "id: " + number + "\ndata: " + id + " " + number + "\n\n";
	}

	private static List<String> body(String id, String request) {
		if (!request.startsWith("POST /stream/")) {
			return List.of("the whole", " body of ", id);
		}
		String last = ScriptedUpstream.header(request, "Last-Event-Id");
		int from = last.isEmpty() ? 1 : Integer.parseInt(last) + 1;
		return IntStream.rangeClosed(from, EVENTS).mapToObj((number) -> event(id, number)).toList();
	}

	private static ScriptedUpstream spoiling(long seed) throws IOException {
		Random random = new Random(seed);
		return ScriptedUpstream.start((number, request, reply) -> {
			String id = ScriptedUpstream.header(request, "X-Attempt");
			String head = "HTTP/1.1 200 OK\r\nX-Attempt: " + id + "\r\nX-Stamp: s\r\n";
			List<String> body = body(id, request);
			boolean spoils = random.nextDouble() < SPOILED && !body.isEmpty();
			String response = spoils ? ResponseDefect.random(random).encode(head, body, random)
					: ResponseDefect.encodeSound(head, body, random);
			boolean breaksOff = random.nextDouble() < BROKEN_OFF;
			String sent = breaksOff ? response.substring(0, random.nextInt(response.length())) : response;
			int split = random.nextInt(sent.length() + 1);
			reply.write(sent.substring(0, split)).write(sent.substring(split));
			if (breaksOff) {
				reply.close();
			}
		});
	}

	private static String send(GatewayFixture gateway, String method, String path, String id) throws IOException {
		try (GatewayFixture.Caller caller = gateway.caller()) {
			return caller
				.send(method + " " + path + " HTTP/1.1\r\nHost: test\r\nX-Key: " + GatewayFixture.KEY
						+ "\r\nX-Attempt: " + id + "\r\nConnection: close\r\nContent-Length: 0\r\n\r\n")
				.readToEnd();
		}
	}

	// Guards against successes with another body than the upstream's, whatever is
	// spoiled.
	@ParameterizedTest
	@MethodSource("seeds")
	void givesEachRequestAWholeBodyOrNoSuccess(long seed) throws Exception {
		try (ScriptedUpstream first = spoiling(seed);
				ScriptedUpstream second = spoiling(-seed);
				GatewayFixture gateway = new GatewayFixture(first, second)) {
			int successes = 0;
			for (int number = 0; number < REQUESTS; number++) {
				String id = "id-" + number;
				String path = List.of("/read/x", "/write/x", "/stream/x").get(number % 3);
				String response = send(gateway, path.startsWith("/read") ? "GET" : "POST", path, id);
				String message = "seed " + seed + ", " + path + ": " + response;
				if (!response.startsWith("HTTP/1.1 200 ")) {
					assertWithMessage(message).that(response).matches("(?s)HTTP/1.1 50[23] .*");
					assertWithMessage(message).that(response).doesNotContain("X-Stamp");
				}
				else if (path.startsWith("/stream")) {
					String whole = String.join("", body(id, "POST /stream/"));
					boolean complete = response.endsWith("\r\n0\r\n\r\n");
					String events = StreamText.events(response).replaceFirst("0$", "");
					assertWithMessage(message).that(complete ? whole : whole.substring(0, events.length()))
						.isEqualTo(events);
					successes += complete ? 1 : 0;
				}
				else {
					assertWithMessage(message).that(response).endsWith("\r\n\r\nthe whole body of " + id);
					successes++;
				}
			}
			assertWithMessage("seed " + seed).that(successes).isAtLeast(REQUESTS / 2);
		}
	}

}
