package io.bulrushrouter.gateway.forward;

import java.io.IOException;
import java.util.ArrayList;
import java.util.List;

import org.junit.jupiter.api.Tag;
import org.junit.jupiter.api.Test;

import static com.google.common.truth.Truth.assertThat;

/**
 * Requests that have nothing in common but one part of their prompts, which crashes each
 * upstream that begins to write a response to it.
 */
class CrashingPromptPartTests {

	private static final int ENTRIES = 4;

	private static final int UPSTREAMS = 6;

	private static final int FATAL_REQUESTS = 30;

	/** Crashes after which the part must be known as their cause. */
	private static final int CRASHES_TO_KNOW = 5;

	/** Further requests with the part that may reach upstreams. */
	private static final int ALLOWED_AFTERWARDS = 3;

	private static final String FATAL = "X-Parts: 5a:800,dead:410,%x:250\r\n";

	private static final String SOUND = "X-Parts: 5a:800,b0:410,%x:250\r\n";

	@Tag("known-red")
	@Test
	void neverLetsOnePartOfAPromptCrashUpstreamAfterUpstream() throws Exception {
		try (CrashingFleet fleet = new CrashingFleet(ENTRIES, UPSTREAMS, (request) -> request.contains(",dead:"))) {
			List<GatewayFixture.Caller> streams = new ArrayList<>();
			int soundServed = 0;
			for (int round = 0; round < FATAL_REQUESTS; round++) {
				// Sound streams are in flight at each crash, with the part that all
				// prompts begin with.
				streams
					.add(fleet.entry(round).caller().get("/stream/s", SOUND.formatted(round), CrashingFleet.ENDLESS));
				streams.get(round).readUntil("data: y");
				disturb(fleet, round);
				sendFatal(fleet, round);
				fleet.restartCrashed();
				soundServed += served(fleet, round) ? 1 : 0;
			}
			for (GatewayFixture.Caller stream : streams) {
				stream.close();
			}
			assertThat(fleet.fatalRequests()).isAtMost(CRASHES_TO_KNOW + ALLOWED_AFTERWARDS);
			assertThat(soundServed).isEqualTo(FATAL_REQUESTS);
		}
	}

	// An upstream crashes by itself in each fifth round, and connections are reset in
	// each
	// third.
	private static void disturb(CrashingFleet fleet, int round) throws IOException {
		if (round % 5 == 4) {
			fleet.crash(round % UPSTREAMS);
		}
		if (round % 3 == 2) {
			fleet.resetConnections((round + 1) % UPSTREAMS);
		}
	}

	private static void sendFatal(CrashingFleet fleet, int round) throws IOException {
		try (GatewayFixture.Caller caller = fleet.entry(round).caller()) {
			String response = caller.get("/stream/f", FATAL.formatted(1_000 + round)).readResponse();
			assertThat(response).containsMatch("^HTTP/1.1 50[23]");
		}
	}

	private static boolean served(CrashingFleet fleet, int round) throws IOException {
		try (GatewayFixture.Caller caller = fleet.entry(round + 1).caller()) {
			return caller.get("/stream/s", SOUND.formatted(2_000 + round))
				.readUntil("\r\n\r\n")
				.startsWith("HTTP/1.1 200");
		}
	}

}
