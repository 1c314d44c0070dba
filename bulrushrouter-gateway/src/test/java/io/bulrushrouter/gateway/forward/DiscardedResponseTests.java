package io.bulrushrouter.gateway.forward;

import java.io.IOException;
import java.util.concurrent.TimeUnit;

import io.netty.buffer.UnpooledByteBufAllocator;
import org.junit.jupiter.api.Test;

import static com.google.common.truth.Truth.assertThat;
import static com.google.common.truth.Truth.assertWithMessage;

/**
 * Guards against memory outside the heap that stays taken by parts of responses that no
 * caller gets.
 */
class DiscardedResponseTests {

	private static final int REQUESTS = 40;

	private static final int SENT_BYTES = 20_000;

	private static final String PART = "HTTP/1.1 200 OK\r\nX-Attempt: id-1\r\nX-Stamp: s\r\nContent-Length: 50000\r\n\r\n"
			+ "x".repeat(SENT_BYTES);

	private static final String OK = "HTTP/1.1 200 OK\r\nX-Attempt: id-1\r\nX-Stamp: s\r\nContent-Length: 2\r\n\r\nok";

	private static long directBytes() {
		return UnpooledByteBufAllocator.DEFAULT.metric().usedDirectMemory();
	}

	private static ScriptedUpstream breakingOff() throws IOException {
		return ScriptedUpstream.start((number, request, reply) -> reply.write(PART).close());
	}

	// Connections keep buffers of their own for a while.
	private static void assertReleased(long before) throws InterruptedException {
		long limit = before + REQUESTS * SENT_BYTES / 2;
		for (int wait = 0; wait < 200 && directBytes() > limit; wait++) {
			TimeUnit.MILLISECONDS.sleep(10);
		}
		assertWithMessage("bytes outside the heap").that(directBytes()).isAtMost(limit);
	}

	@Test
	void releaseWhatAnUpstreamBrokeOffBeforeARetry() throws Exception {
		try (ScriptedUpstream broken = breakingOff();
				ScriptedUpstream other = ScriptedUpstream.start((number, request, reply) -> reply.write(OK))) {
			long before = directBytes();
			for (int number = 0; number < REQUESTS; number++) {
				try (GatewayFixture gateway = new GatewayFixture(broken, other);
						GatewayFixture.Caller caller = gateway.caller()) {
					assertThat(caller.get("/read/x").readResponse()).endsWith("ok");
				}
			}
			assertReleased(before);
		}
	}

	@Test
	void releaseWhatAnUpstreamBrokeOffBeforeAFailure() throws Exception {
		try (ScriptedUpstream broken = breakingOff()) {
			long before = directBytes();
			for (int number = 0; number < REQUESTS; number++) {
				try (GatewayFixture gateway = new GatewayFixture(broken);
						GatewayFixture.Caller caller = gateway.caller()) {
					assertThat(caller.post("/write/x", "b").readResponse()).startsWith("HTTP/1.1 502 ");
				}
			}
			assertReleased(before);
		}
	}

}
