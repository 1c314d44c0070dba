package io.bulrushrouter.gateway.forward;

import java.io.IOException;
import java.util.Arrays;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.concurrent.ConcurrentHashMap;
import java.util.stream.LongStream;
import java.util.stream.Stream;

import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.MethodSource;
import org.junit.jupiter.params.provider.ValueSource;

import io.bulrushrouter.kernel.NotRunStatus;
import io.bulrushrouter.standin.FailureAfterRun;

import static com.google.common.truth.Truth.assertThat;
import static com.google.common.truth.Truth.assertWithMessage;

/**
 * What callers get for each status of an upstream: the table of
 * {@code docs/design/upstream-statuses.md}. More seeds than by default are given by the
 * property {@code bulrush.seeds}.
 */
class UpstreamStatusTests {

	private static final int REQUESTS = 60;

	private static final String NOT_RUN = "X-Not-Run: 1\r\n";

	private static final String NAMES = "X-Attempt: %s\r\nX-Stamp: s\r\n";

	private static final String OK = "HTTP/1.1 200 OK\r\n" + NAMES + "Content-Length: 2\r\n\r\nok";

	private static final List<Integer> STATUSES = Stream.concat(FailureAfterRun.STATUSES.stream(), Stream.of(421))
		.toList();

	static Stream<Case> cases() {
		return STATUSES.stream()
			.flatMap((status) -> Stream.of(true, false)
				.flatMap((says) -> Stream.of("/read/", "/write/", "/stream/")
					.flatMap((route) -> Arrays.stream(Earlier.values())
						.filter((earlier) -> earlier != Earlier.MAY_HAVE_RUN || !route.equals("/write/"))
						.map((earlier) -> new Case(status, says, route, earlier)))));
	}

	static LongStream seeds() {
		return LongStream.rangeClosed(1, Integer.getInteger("bulrush.seeds", 6));
	}

	private static String request(String route, String id) {
		String method = route.equals("/read/") ? "GET" : "POST";
		return method + " " + route + "x HTTP/1.1\r\nHost: test\r\nX-Key: " + GatewayFixture.KEY + "\r\nX-Attempt: "
				+ id + "\r\nContent-Length: 0\r\n\r\n";
	}

	// Guards against answers by which a caller repeats a request that has run.
	@ParameterizedTest
	@MethodSource("cases")
	void givesTheCallerATrueAnswer(Case each) throws Exception {
		String failure = "HTTP/1.1 " + each.status + " Failed\r\n" + NAMES + (each.saysNotRun ? NOT_RUN : "")
				+ "Retry-After: 7\r\nContent-Length: 3\r\n\r\nwhy";
		try (ScriptedUpstream first = ScriptedUpstream.start((number, request, reply) -> {
			switch (each.earlier) {
				case NOT_RUN -> reply.write("HTTP/1.1 503 Full\r\n" + NOT_RUN + "Content-Length: 0\r\n\r\n");
				case MAY_HAVE_RUN -> reply.reset();
				case SAME_CONNECTION ->
					reply.write((ScriptedUpstream.header(request, "X-Attempt").equals("id-0") ? OK : failure)
						.formatted(ScriptedUpstream.header(request, "X-Attempt")));
				default -> reply.write(failure.formatted(ScriptedUpstream.header(request, "X-Attempt")));
			}
		});
				ScriptedUpstream second = ScriptedUpstream.start((number, request, reply) -> reply
					.write(failure.formatted(ScriptedUpstream.header(request, "X-Attempt"))));
				GatewayFixture gateway = each.earlier.attempt() ? new GatewayFixture(first, second)
						: new GatewayFixture(first);
				GatewayFixture.Caller caller = gateway.caller()) {
			if (each.earlier == Earlier.SAME_CONNECTION) {
				assertThat(caller.send(request("/read/", "id-0")).readResponse()).endsWith("ok");
			}
			String response = caller.send(request(each.route, "id-1")).readResponse();
			assertThat(response).startsWith("HTTP/1.1 " + each.expectedStatus() + " ");
			if (each.passedOn()) {
				assertThat(response).contains("X-Stamp: s\r\n");
				assertThat(response).contains("Retry-After: 7\r\n");
				assertThat(response).endsWith("\r\n\r\nwhy");
			}
			else {
				assertThat(response).doesNotContain("X-Stamp");
				assertThat(response).contains(each.notRun() ? "\"not-run\"" : "\"may-have-run\"");
				assertThat(response.toLowerCase().contains("retry-after")).isEqualTo(each.notRun());
			}
		}
	}

	// Guards against a server at the address of an upstream whose 404 ends requests.
	@ParameterizedTest
	@ValueSource(ints = { 302, 400, 401, 404, 410, 499 })
	void neverPassesOnAFailureWithoutStampAndIdentifier(int status) throws Exception {
		String failure = "HTTP/1.1 " + status + " Other\r\nContent-Length: 3\r\n\r\nwhy";
		try (ScriptedUpstream other = ScriptedUpstream.start((number, request, reply) -> reply.write(failure));
				ScriptedUpstream sound = ScriptedUpstream.start((number, request, reply) -> reply
					.write(OK.formatted(ScriptedUpstream.header(request, "X-Attempt"))))) {
			try (GatewayFixture gateway = new GatewayFixture(other); GatewayFixture.Caller caller = gateway.caller()) {
				String response = caller.send(request("/write/", "id-1")).readResponse();
				assertThat(response).startsWith("HTTP/1.1 502 ");
				assertThat(response).contains("\"may-have-run\"");
			}
			try (GatewayFixture gateway = new GatewayFixture(other, sound);
					GatewayFixture.Caller caller = gateway.caller()) {
				for (int number = 0; number < 10; number++) {
					assertThat(caller.send(request("/read/", "id-" + number)).readResponse()).endsWith("ok");
				}
			}
		}
	}

	@ParameterizedTest
	@ValueSource(strings = { "X-Stamp: s\r\n", "X-Attempt: id-1\r\n" })
	void passesOnAFailureWithEither(String field) throws Exception {
		try (ScriptedUpstream upstream = ScriptedUpstream.start((number, request,
				reply) -> reply.write("HTTP/1.1 404 Unknown\r\n" + field + "Content-Length: 3\r\n\r\nwhy"));
				GatewayFixture gateway = new GatewayFixture(upstream);
				GatewayFixture.Caller caller = gateway.caller()) {
			String response = caller.send(request("/write/", "id-1")).readResponse();
			assertThat(response).startsWith("HTTP/1.1 404 ");
			assertThat(response).endsWith("why");
		}
	}

	private static ScriptedUpstream failing(long seed, Map<String, Integer> runs) throws IOException {
		Random random = new Random(seed);
		return ScriptedUpstream.start((number, request, reply) -> {
			String id = ScriptedUpstream.header(request, "X-Attempt");
			double choice = random.nextDouble();
			if (choice < 0.2) {
				int status = STATUSES.get(random.nextInt(STATUSES.size()));
				reply.write("HTTP/1.1 " + status + " Full\r\n" + NOT_RUN + NAMES.formatted(id)
						+ "Content-Length: 0\r\n\r\n");
				return;
			}
			runs.merge(id, 1, Integer::sum);
			if (choice < 0.5) {
				String names = (random.nextDouble() < 0.7) ? NAMES.formatted(id) : "X-Stamp: s\r\n";
				reply.write(FailureAfterRun.encode(names, random));
			}
			else if (choice < 0.6) {
				reply.reset();
			}
			else {
				reply.write(OK.formatted(id));
			}
		});
	}

	// Guards against promises that are not true, whatever upstreams answer after a run.
	@ParameterizedTest
	@MethodSource("seeds")
	void neverPromisesWhatIsNotTrue(long seed) throws Exception {
		Map<String, Integer> runs = new ConcurrentHashMap<>();
		try (ScriptedUpstream first = failing(seed, runs);
				ScriptedUpstream second = failing(-seed, runs);
				GatewayFixture gateway = new GatewayFixture(first, second)) {
			for (int number = 0; number < REQUESTS; number++) {
				String id = "id-" + number;
				String route = List.of("/write/", "/read/", "/stream/").get(number % 3);
				try (GatewayFixture.Caller caller = gateway.caller()) {
					String response = caller.send(request(route, id)).readResponse();
					String message = "seed " + seed + ", " + id + ": " + response;
					int status = Integer.parseInt(response.substring(9, 12));
					assertWithMessage(message).that(NotRunStatus.includes(status) && runs.containsKey(id)).isFalse();
					assertWithMessage(message).that(runs.getOrDefault(id, 0)).isAtMost(route.equals("/write/") ? 1 : 2);
				}
			}
		}
	}

	/**
	 * What came before the answer.
	 */
	private enum Earlier {

		NOTHING, SAME_CONNECTION, NOT_RUN, MAY_HAVE_RUN;

		private boolean attempt() {
			return this == NOT_RUN || this == MAY_HAVE_RUN;
		}

	}

	/**
	 * An answer of the last upstream that is asked.
	 *
	 * @param status the status
	 * @param saysNotRun whether it says that the request has not run
	 * @param route the route of the request
	 * @param earlier what came before
	 */
	private record Case(int status, boolean saysNotRun, String route, Earlier earlier) {

		private boolean notRun() {
			return (this.saysNotRun || this.status == 421) && this.earlier != Earlier.MAY_HAVE_RUN;
		}

		// A request that may run again is not answered with a failure while attempts are
		// left.
		private boolean passedOn() {
			boolean repeatable = !this.route.equals("/write/") && !this.earlier.attempt();
			return !this.saysNotRun && !NotRunStatus.includes(this.status) && !(repeatable && this.status >= 500);
		}

		private int expectedStatus() {
			if (passedOn()) {
				return this.status;
			}
			return notRun() ? 503 : 502;
		}

	}

}
