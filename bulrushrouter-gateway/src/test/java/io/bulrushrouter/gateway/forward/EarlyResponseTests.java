package io.bulrushrouter.gateway.forward;

import java.io.IOException;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.atomic.AtomicInteger;

import org.junit.jupiter.api.Test;

import static com.google.common.truth.Truth.assertThat;

/**
 * Guards against an entry that runs out of memory while upstreams answer long requests
 * before they have read them.
 */
class EarlyResponseTests {

	private static final int BODY_BYTES = 300_000;

	private static final String BODY = "b".repeat(BODY_BYTES);

	private static final int REQUESTS = 20;

	private final CountDownLatch readOn = new CountDownLatch(1);

	private final AtomicInteger bodiesRead = new AtomicInteger();

	private final AtomicInteger connectionsEnded = new AtomicInteger();

	private void answerAndReadLater(int number, String request, ScriptedUpstream.Reply reply) throws IOException {
		reply.write("HTTP/1.1 200 OK\r\nX-Attempt: id-1\r\nX-Stamp: s\r\nContent-Length: 2\r\n\r\nok");
		try {
			this.readOn.await();
			reply.skipBody(BODY_BYTES);
			this.bodiesRead.incrementAndGet();
		}
		catch (InterruptedException ex) {
			Thread.currentThread().interrupt();
		}
		finally {
			this.connectionsEnded.incrementAndGet();
		}
	}

	private void upload(GatewayFixture gateway, int requests) throws Exception {
		try (GatewayFixture.Caller caller = gateway.caller()) {
			for (int index = 0; index < requests; index++) {
				caller.post("/write/" + index, BODY);
				assertThat(caller.readResponse()).startsWith("HTTP/1.1 200");
			}
		}
	}

	@Test
	void countsARequestUntilItsUpstreamHasReadIt() throws Exception {
		try (ScriptedUpstream upstream = ScriptedUpstream.startReadingHeads(this::answerAndReadLater);
				GatewayFixture gateway = new GatewayFixture(upstream)) {
			gateway.bodyLimit(1 << 20);
			upload(gateway, 1);
			assertThat(gateway.read(GatewayContext::heldBytes)).isAtLeast(BODY_BYTES);
			this.readOn.countDown();
			while (gateway.read(GatewayContext::heldBytes) > 0) {
				Thread.onSpinWait();
			}
			assertThat(gateway.read(GatewayContext::droppedRequests)).isEqualTo(0);
		}
	}

	@Test
	void answersAllRequestsAndKeepsTheMemoryBoundWhileNoUpstreamReadsOn() throws Exception {
		long bound = 4L << 20;
		try (ScriptedUpstream upstream = ScriptedUpstream.startReadingHeads(this::answerAndReadLater);
				GatewayFixture gateway = new GatewayFixture(upstream)) {
			gateway.bodyLimit(1 << 20);
			gateway.bound(bound);
			upload(gateway, REQUESTS);
			assertThat(gateway.read(GatewayContext::heldBytes)).isAtMost(bound);
			this.readOn.countDown();
			while (this.connectionsEnded.get() < REQUESTS) {
				Thread.onSpinWait();
			}
			// The connections that were still open, each with its whole body.
			assertThat(this.bodiesRead.get()).isAtLeast(1);
			assertThat((long) this.bodiesRead.get() * BODY_BYTES).isAtMost(bound);
		}
	}

}
