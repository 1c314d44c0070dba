package io.bulrushrouter.gateway.forward;

import java.util.ArrayList;
import java.util.List;
import java.util.Random;
import java.util.Set;
import java.util.TreeSet;
import java.util.concurrent.atomic.AtomicBoolean;

import org.junit.jupiter.api.Test;

import static com.google.common.truth.Truth.assertThat;

/**
 * The model of a connection: the n-th answer is to the n-th request, with the bytes of
 * its own body.
 */
class CallerConnectionTests {

	private static final int SEEDS = 2_000;

	private static final String FOLDED = "GET /folded HTTP/1.1\r\nHost: test\r\nX-Key: a\r\n b\r\n\r\n";

	private static String request(String target, String body, boolean chunked) {
		String head = "POST " + target + " HTTP/1.1\r\nHost: test\r\nX-Key: " + GatewayFixture.KEY + "\r\n";
		if (!chunked || body.isEmpty()) {
			return head + "Content-Length: " + body.length() + "\r\n\r\n" + body;
		}
		return head + "Transfer-Encoding: chunked\r\n\r\n" + Integer.toHexString(body.length()) + "\r\n" + body
				+ "\r\n0\r\n\r\n";
	}

	/**
	 * Sends requests with bodies of any length.
	 * @param caller the caller
	 * @param random the random source
	 * @return the answers that are due
	 */
	private static List<String> sendRequests(PipeliningCaller caller, Random random) {
		List<String> due = new ArrayList<>();
		for (int number = random.nextInt(40); number >= 0; number--) {
			int length = (random.nextInt(8) == 0) ? 4_000 : 40;
			String body = random.ints(random.nextInt(length), 'a', 'z' + 1)
				.collect(StringBuilder::new, StringBuilder::appendCodePoint, StringBuilder::append)
				.toString();
			caller.send(request("/" + number, body, random.nextBoolean()));
			due.add("200 /" + number + body);
		}
		return due;
	}

	private static void act(PipeliningCaller caller, Random random) {
		switch (random.nextInt(3)) {
			case 0 -> caller.read(1 + random.nextInt((random.nextInt(4) == 0) ? 8_000 : 80));
			case 1 -> caller.complete(random.nextBoolean());
			default -> caller.runTasks();
		}
	}

	// Guards against answers that change places and bodies that lose a part.
	@Test
	void answersPipelinedRequestsInTheirOrderWithTheirOwnBodies() {
		List<Integer> mixed = new ArrayList<>();
		List<Integer> holding = new ArrayList<>();
		for (int seed = 0; seed < SEEDS; seed++) {
			Random random = new Random(seed);
			PipeliningCaller caller = new PipeliningCaller();
			List<String> due = sendRequests(caller, random);
			boolean closes = random.nextInt(4) == 0;
			for (int steps = random.nextInt(400); steps > 0; steps--) {
				act(caller, random);
			}
			if (closes) {
				caller.close();
			}
			caller.finish();
			List<String> answers = caller.answers();
			if (!answers.equals(closes ? due.subList(0, Math.min(answers.size(), due.size())) : due)) {
				mixed.add(seed);
			}
			if (caller.gateway().heldBytes() != 0) {
				holding.add(seed);
			}
		}
		assertThat(mixed).isEmpty();
		assertThat(holding).isEmpty();
	}

	private static boolean endAnnounced(List<String> answers) {
		return !answers.isEmpty() && answers.get(answers.size() - 1).startsWith("200 close ");
	}

	// Guards against requests that wait and get no answer since the gateway stops.
	@Test
	void answersAllThatWasReadBeforeItEndsTheConnectionAtAStop() {
		Set<Integer> lost = new TreeSet<>();
		Set<Integer> wrong = new TreeSet<>();
		for (int seed = 0; seed < SEEDS; seed++) {
			Random random = new Random(seed);
			PipeliningCaller caller = new PipeliningCaller();
			List<String> due = sendRequests(caller, random);
			List<String> answers = caller.answers();
			int answeredBefore = 0;
			int drainStep = random.nextInt(200);
			for (int step = 0; step < 600 && !endAnnounced(answers); step++) {
				if (step == drainStep) {
					answeredBefore = answers.size();
					caller.gateway().drain();
				}
				act(caller, random);
				boolean waits = caller.requestsRead() > caller.answers().size();
				if (waits && (endAnnounced(answers) || !caller.connection().busy())) {
					lost.add(seed);
				}
			}
			caller.finish();
			List<String> expected = new ArrayList<>(due.subList(0, caller.answers().size()));
			if (answers.size() > answeredBefore) {
				expected.set(answers.size() - 1, expected.get(answers.size() - 1).replace("200 ", "200 close "));
			}
			if (!answers.equals(expected) || caller.connection().busy() || caller.gateway().heldBytes() != 0) {
				wrong.add(seed);
			}
		}
		assertThat(lost).isEmpty();
		assertThat(wrong).isEmpty();
	}

	// Guards against a request that is dropped when a stop refuses requests.
	@Test
	void refusesARequestWhoseTurnComesLateInAStopAsNotRun() throws Exception {
		AtomicBoolean refusing = new AtomicBoolean();
		try (ScriptedUpstream upstream = ScriptedUpstream.start((number, request, reply) -> {
			while (!refusing.get()) {
				Thread.onSpinWait();
			}
			reply.write("HTTP/1.1 200 OK\r\nX-Stamp: s\r\nContent-Length: 1\r\n\r\na");
		}); GatewayFixture gateway = new GatewayFixture(upstream); GatewayFixture.Caller caller = gateway.caller()) {
			caller.send(request("/read/a", "a", false) + request("/write/b", "b", false));
			while (upstream.requests().isEmpty()) {
				Thread.onSpinWait();
			}
			gateway.read((context) -> {
				context.drain();
				context.refuseRequests();
				return 0;
			});
			refusing.set(true);
			String first = caller.readResponse();
			assertThat(first).startsWith("HTTP/1.1 200 OK\r\n");
			assertThat(first).doesNotContain("close");
			String second = caller.readToEnd();
			assertThat(second).startsWith("HTTP/1.1 503 ");
			assertThat(second).contains("\r\nconnection: close\r\n");
			assertThat(second).contains("\"error\":\"draining\",\"verdict\":\"not-run\"");
			assertThat(upstream.requests()).hasSize(1);
		}
	}

	// Guards against a stop that waits for a request of which only a line break has come.
	@Test
	void endsTheConnectionAtAStopDespiteALineBreakBehindABody() {
		PipeliningCaller caller = new PipeliningCaller();
		caller.gateway().drain();
		caller.send(request("/1", "a", false) + "\r\n").finish();
		assertThat(caller.answers()).containsExactly("200 close /1a");
		assertThat(caller.connection().busy()).isFalse();
	}

	// Guards against a malformed request that cuts off the answers to those before it.
	@Test
	void refusesAMalformedRequestInItsTurn() {
		PipeliningCaller caller = new PipeliningCaller();
		caller.send(request("/1", "a", false) + request("/2", "b", false) + FOLDED + FOLDED).finish();
		assertThat(caller.answers()).containsExactly("200 /1a", "200 /2b", "400 close ").inOrder();
		assertThat(caller.connected()).isFalse();
		assertThat(caller.gateway().heldBytes()).isEqualTo(0);
	}

	// Guards against a refusal where the end of a head arrives with a body that looks
	// like a folded field.
	@Test
	void acceptsAnIndentedBodyWhereverSegmentsEnd() {
		String request = request("/1", "a\n b", false);
		for (int length = 1; length < request.length(); length++) {
			PipeliningCaller caller = new PipeliningCaller();
			caller.send(request).read(length);
			caller.finish();
			assertThat(caller.answers()).containsExactly("200 /1a\n b");
		}
	}

	// Guards against memory without bound for a caller that sends on.
	@Test
	void pausesReadingWhileTooMuchWaitsAndThenResumes() {
		PipeliningCaller caller = new PipeliningCaller();
		for (int number = 0; number < 10; number++) {
			caller.send(request("/" + number, "x".repeat(4_000), false));
			caller.read(5_000);
		}
		assertThat(caller.reading()).isFalse();
		assertThat(caller.gateway().heldBytes()).isLessThan(40_000L);
		caller.finish();
		assertThat(caller.reading()).isTrue();
		assertThat(caller.answers()).hasSize(10);
		assertThat(caller.gateway().heldBytes()).isEqualTo(0);
	}

	// Guards against idle connections that each keep a buffer as long as their longest
	// line.
	@Test
	void keepsNoBufferOfALongLineOnceItsRequestIsServed() {
		PipeliningCaller caller = new PipeliningCaller();
		caller.send("GET /1 HTTP/1.1\r\nHost: h\r\na:" + "x".repeat(3_500) + "\r\n\r\n");
		caller.read(Integer.MAX_VALUE);
		RequestDecoder first = caller.decoder();
		caller.complete(false);
		caller.runTasks();
		assertThat(caller.decoder()).isNotSameInstanceAs(first);
		caller.send(request("/2", "body", true));
		caller.finish();
		assertThat(caller.answers()).containsExactly("200 /1", "200 /2body").inOrder();
	}

}
