package io.bulrushrouter.gateway.forward;

import java.util.Map;
import java.util.Random;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.TimeUnit;

import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

import static com.google.common.truth.Truth.assertThat;
import static com.google.common.truth.Truth.assertWithMessage;

/**
 * Callers on kept connections before upstreams that repeat answers, in whole or in part,
 * behind the answer, a little later, or in front of the next one. Identifiers come twice
 * at times.
 */
class StutteringUpstreamTests {

	private static final int REQUESTS = 400;

	// The stamp of an answer names its request and its upstream's answer to it.
	private static String answer(String id, int status, String content) {
		return "HTTP/1.1 " + status + " Some Reason\r\nType: text\r\nX-Attempt: " + id + "\r\nX-Stamp: " + id + "/"
				+ status + "\r\nContent-Length: " + content.length() + "\r\n\r\n" + content;
	}

	private static String idOf(String request) {
		int start = request.indexOf("X-Attempt: ") + "X-Attempt: ".length();
		return request.substring(start, request.indexOf('\r', start));
	}

	private static ScriptedUpstream stuttering(Random random, Map<String, Integer> statuses) throws Exception {
		Map<ScriptedUpstream.Reply, String> late = new ConcurrentHashMap<>();
		return ScriptedUpstream.start((number, request, reply) -> {
			String id = idOf(request);
			int status;
			String second;
			int moment;
			synchronized (random) {
				status = statuses.computeIfAbsent(id, (key) -> (random.nextInt(3) == 0) ? 404 : 200);
				second = answer(id, (random.nextInt(4) == 0) ? 500 : 200, "no");
				second = second.substring(0, random.nextBoolean() ? second.length() : random.nextInt(second.length()));
				moment = random.nextInt(6);
			}
			String front = late.remove(reply);
			String own = ((front != null) ? front : "") + answer(id, status, "body of " + id);
			switch (moment) {
				case 0 -> reply.write(own + second);
				case 1 -> {
					reply.write(own);
					pause(random);
					reply.write(second);
				}
				case 2 -> {
					late.put(reply, second);
					reply.write(own);
				}
				default -> reply.write(own);
			}
		});
	}

	private static void pause(Random random) {
		long end = System.nanoTime() + TimeUnit.MICROSECONDS.toNanos(random.nextInt(300));
		while (System.nanoTime() < end) {
			Thread.onSpinWait();
		}
	}

	// Guards against answers that are not the request's own or not the one that its
	// upstream gave.
	@ParameterizedTest
	@ValueSource(longs = { 1, 2, 3, 4, 5, 6, 7, 8 })
	void givesEachRequestItsOwnAnswerOrNone(long seed) throws Exception {
		Random random = new Random(seed);
		Random repetitions = new Random(-seed);
		Map<String, Integer> statuses = new ConcurrentHashMap<>();
		try (ScriptedUpstream first = stuttering(random, statuses);
				ScriptedUpstream second = stuttering(random, statuses);
				GatewayFixture gateway = new GatewayFixture(first, second);
				GatewayFixture.Caller caller = gateway.caller()) {
			int answered = 0;
			for (int number = 0; number < REQUESTS; number++) {
				String id = "id-" + (number - repetitions.nextInt(2));
				String response = caller
					.send("GET /read/x HTTP/1.1\r\nHost: test\r\nX-Key: " + GatewayFixture.KEY + "\r\nX-Attempt: " + id
							+ "\r\n\r\n")
					.readResponse();
				int status = Integer.parseInt(response.split(" ")[1]);
				assertThat(status).isNotEqualTo(503);
				if (response.contains("\r\nX-Stamp: ")) {
					answered++;
					String message = "seed " + seed + ", " + id + ": " + response;
					assertWithMessage(message).that(status).isEqualTo(statuses.get(id));
					assertWithMessage(message).that(response).contains("X-Stamp: " + id + "/" + status + "\r\n");
					assertWithMessage(message).that(response).endsWith("\r\n\r\nbody of " + id);
				}
			}
			assertThat(answered).isAtLeast(REQUESTS / 2);
		}
	}

}
