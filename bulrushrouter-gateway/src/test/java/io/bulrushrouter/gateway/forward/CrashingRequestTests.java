package io.bulrushrouter.gateway.forward;

import java.io.IOException;
import java.time.Duration;

import org.junit.jupiter.api.Test;

import static com.google.common.truth.Truth.assertThat;

/**
 * A request that crashes each upstream that begins to run it, and that comes again at any
 * entry.
 */
class CrashingRequestTests {

	private static final int ENTRIES = 4;

	private static final int UPSTREAMS = 6;

	/** Crashes after which the request must be known as their cause. */
	private static final int CRASHES_TO_KNOW = 3;

	/** Time after the return of the store within which reports are written again. */
	private static final Duration RECOVERY = Duration.ofSeconds(10);

	/** Retries of the request that may reach upstreams after that time. */
	private static final int ALLOWED_AFTERWARDS = 3;

	private static final int ROUNDS = 30;

	private static final int FATAL_KINDS = 2;

	@Test
	void neverLetsARequestThatComesAgainCrashUpstreamAfterUpstream() throws Exception {
		try (CrashingFleet fleet = new CrashingFleet(ENTRIES, UPSTREAMS,
				(request) -> request.startsWith("GET /read/fatal "))) {
			CrashingFleet.Outcome outcome = fleet.play(CRASHES_TO_KNOW, 1, (round) -> play(fleet, round));
			assertThat(outcome.fatalAfterwards()).isAtMost(ALLOWED_AFTERWARDS);
			assertThat(outcome.soundRefused()).isEqualTo(0);
		}
	}

	@Test
	void neverLetsRequestsAndPromptPartsCrashUpstreamsTogether() throws Exception {
		try (CrashingFleet fleet = new CrashingFleet(ENTRIES, UPSTREAMS,
				(request) -> request.startsWith("GET /read/fatal ") || request.contains(",dead:"))) {
			CrashingFleet.Outcome outcome = fleet.play(FATAL_KINDS * CRASHES_TO_KNOW, FATAL_KINDS, (round) -> {
				sendFatalPart(fleet, round);
				return play(fleet, round);
			});
			assertThat(outcome.fatalAfterwards()).isAtMost(FATAL_KINDS * ALLOWED_AFTERWARDS);
			assertThat(outcome.soundRefused()).isEqualTo(0);
		}
	}

	@Test
	void neverTakesAResetConnectionForACrash() throws Exception {
		try (CrashingFleet fleet = new CrashingFleet(1, UPSTREAMS, (request) -> false)) {
			for (int round = 0; round < ROUNDS; round++) {
				try (GatewayFixture.Caller caller = fleet.entry(0).caller()) {
					String response = caller.get("/read/reset", CrashingFleet.RESET).readResponse();
					assertThat(response).startsWith("HTTP/1.1 502");
				}
				fleet.settle();
			}
			assertThat(fleet.entry(0).quarantines()).isEqualTo(0);
		}
	}

	@Test
	void refusesTheRequestAtAnEntryThatStartsLater() throws Exception {
		try (CrashingFleet fleet = new CrashingFleet(ENTRIES, UPSTREAMS,
				(request) -> request.startsWith("GET /read/fatal "))) {
			crashUntilKnown(fleet);
			fleet.addEntry();
			fleet.awaitQuarantines(1, CrashingFleet.CONTACT);
			int known = fleet.fatalRequests();
			sendFatal(fleet, ENTRIES);
			assertThat(fleet.fatalRequests()).isEqualTo(known);
		}
	}

	@Test
	void tellsTheOtherEntriesOfCrashesThatItSawWhileTheStoreWasDown() throws Exception {
		try (CrashingFleet fleet = new CrashingFleet(ENTRIES, UPSTREAMS,
				(request) -> request.startsWith("GET /read/fatal "))) {
			fleet.reports().available(false);
			while (fleet.entry(0).quarantines() == 0) {
				sendFatal(fleet, 0);
				fleet.settle();
			}
			fleet.reports().available(true);
			fleet.awaitQuarantines(1, RECOVERY);
			int known = fleet.fatalRequests();
			for (int round = 0; round < ROUNDS; round++) {
				sendFatal(fleet, round);
			}
			assertThat(fleet.fatalRequests()).isEqualTo(known);
		}
	}

	@Test
	void tellsTheCallerAtOnceThatTheRequestHasNotRunAndWhenToComeBack() throws Exception {
		try (CrashingFleet fleet = new CrashingFleet(ENTRIES, UPSTREAMS,
				(request) -> request.startsWith("GET /read/fatal "))) {
			crashUntilKnown(fleet);
			try (GatewayFixture.Caller caller = fleet.entry(0).caller()) {
				String response = caller.get("/read/fatal").readResponse();
				assertThat(response).startsWith("HTTP/1.1 503");
				assertThat(response).containsMatch("(?i)retry-after: [0-9]{3}\\.");
				assertThat(response).contains("\"error\":\"quarantined\",\"verdict\":\"not-run\"");
			}
		}
	}

	private static void crashUntilKnown(CrashingFleet fleet) throws Exception {
		for (int round = 0; fleet.fatalRequests() < CRASHES_TO_KNOW; round++) {
			sendFatal(fleet, round);
			fleet.settle();
		}
		fleet.awaitQuarantines(1, CrashingFleet.CONTACT);
	}

	private static void sendFatalPart(CrashingFleet fleet, int round) throws IOException {
		try (GatewayFixture.Caller caller = fleet.entry(round + 2).caller()) {
			String parts = "X-Parts: 5a:800,dead:410,%x:250\r\n".formatted(round);
			assertThat(caller.get("/stream/f" + round, parts).readResponse()).containsMatch("^HTTP/1.1 50[23]");
		}
	}

	private static boolean play(CrashingFleet fleet, int round) throws Exception {
		// Other requests of the same caller and kind wait at the upstreams that crash.
		fleet.openCaller(round).get("/read/" + round, CrashingFleet.WAITING);
		fleet.disturb(round);
		sendFatal(fleet, round);
		fleet.settle();
		return served(fleet, round);
	}

	private static void sendFatal(CrashingFleet fleet, int round) throws IOException {
		try (GatewayFixture.Caller caller = fleet.entry(round).caller()) {
			assertThat(caller.get("/read/fatal").readResponse()).containsMatch("^HTTP/1.1 50[23]");
		}
	}

	private static boolean served(CrashingFleet fleet, int round) throws IOException {
		try (GatewayFixture.Caller caller = fleet.entry(round + 1).caller()) {
			return caller.get("/read/sound-" + round).readResponse().startsWith("HTTP/1.1 200");
		}
	}

}
