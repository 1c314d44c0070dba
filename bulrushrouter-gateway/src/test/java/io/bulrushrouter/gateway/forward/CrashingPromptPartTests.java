package io.bulrushrouter.gateway.forward;

import java.io.IOException;

import org.junit.jupiter.api.Test;

import static com.google.common.truth.Truth.assertThat;

/**
 * Requests that have nothing in common but one part of their prompts, which crashes each
 * upstream that begins to write a response to it.
 */
class CrashingPromptPartTests {

	private static final int ENTRIES = 4;

	private static final int UPSTREAMS = 6;

	/** Crashes after which the part must be known as their cause. */
	private static final int CRASHES_TO_KNOW = 5;

	/** Requests with the part that may reach upstreams after that time. */
	private static final int ALLOWED_AFTERWARDS = 3;

	private static final String FATAL = "X-Parts: 5a:800,dead:410,%x:250\r\n";

	private static final String SOUND = "X-Parts: 5a:800,b0:410,%x:250\r\n";

	@Test
	void neverLetsOnePartOfAPromptCrashUpstreamAfterUpstream() throws Exception {
		try (CrashingFleet fleet = new CrashingFleet(ENTRIES, UPSTREAMS, (request) -> request.contains(",dead:"))) {
			CrashingFleet.Outcome outcome = fleet.play(CRASHES_TO_KNOW, 1, (round) -> play(fleet, round));
			assertThat(outcome.fatalAfterwards()).isAtMost(ALLOWED_AFTERWARDS);
			assertThat(outcome.soundRefused()).isEqualTo(0);
		}
	}

	private static boolean play(CrashingFleet fleet, int round) throws Exception {
		// Sound streams are in flight at each crash, with the part that all prompts begin
		// with.
		fleet.openCaller(round)
			.get("/stream/e" + round, SOUND.formatted(round), CrashingFleet.ENDLESS)
			.readUntil("data: y");
		fleet.disturb(round);
		sendFatal(fleet, round);
		fleet.settle();
		return served(fleet, round);
	}

	private static void sendFatal(CrashingFleet fleet, int round) throws IOException {
		try (GatewayFixture.Caller caller = fleet.entry(round).caller()) {
			String response = caller.get("/stream/f" + round, FATAL.formatted(1_000 + round)).readResponse();
			assertThat(response).containsMatch("^HTTP/1.1 50[23]");
		}
	}

	private static boolean served(CrashingFleet fleet, int round) throws IOException {
		try (GatewayFixture.Caller caller = fleet.entry(round + 1).caller()) {
			return caller.get("/stream/s" + round, SOUND.formatted(2_000 + round))
				.readUntil("\r\n\r\n")
				.startsWith("HTTP/1.1 200");
		}
	}

}
