package io.bulrushrouter.daemon.process;

import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;

import io.netty.channel.EventLoopGroup;
import io.netty.channel.nio.NioEventLoopGroup;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

import io.bulrushrouter.daemon.demo.EntryClient;
import io.bulrushrouter.daemon.demo.Fleet;
import io.bulrushrouter.http.StreamingHttpClient;
import io.bulrushrouter.standin.EngineText;

import static com.google.common.truth.Truth.assertThat;
import static com.google.common.truth.Truth.assertWithMessage;

/**
 * Tests for daemons in separate processes that are killed, suspended or terminated
 * gracefully.
 */
class ProcessFailureTests {

	private static final int STREAMS = 8;

	private static final int TOKENS = 100;

	private static final EntryClient.Response NO_RESPONSE = new EntryClient.Response(0, "", false);

	private final EventLoopGroup network = new NioEventLoopGroup(1);

	private final StreamingHttpClient http = StreamingHttpClient.of(this.network);

	private ProcessFleet fleet;

	private EntryClient caller;

	@BeforeEach
	void start(@TempDir Path directory) {
		this.fleet = new ProcessFleet(directory);
		this.caller = new EntryClient(this.http, "http://127.0.0.1:" + this.fleet.callersPort(), Fleet.key(1));
		EntryClient operator = new EntryClient(this.http, "http://127.0.0.1:" + this.fleet.operatorsPort(), "");
		for (int i = 0; i < 500 && !isReady(operator); i++) {
			ProcessFleet.pause(20);
		}
	}

	private boolean isReady(EntryClient operator) {
		String metrics = join(operator.send("GET", "/metrics", Map.of(), "")).body();
		return metrics.contains("bulrush_entry_connected_upstreams 3.0");
	}

	@AfterEach
	void stop() {
		this.fleet.close();
		this.http.close();
		this.network.shutdownGracefully(0, 1, TimeUnit.SECONDS);
	}

	private static EntryClient.Response join(CompletableFuture<EntryClient.Response> answer) {
		return answer.completeOnTimeout(NO_RESPONSE, 60, TimeUnit.SECONDS).join();
	}

	private List<CompletableFuture<EntryClient.Response>> startStreams(String batch) {
		List<CompletableFuture<EntryClient.Response>> answers = new ArrayList<>();
		for (int i = 0; i < STREAMS; i++) {
			answers.add(this.caller.stream(batch + " " + i, TOKENS));
		}
		ProcessFleet.pause(600);
		return answers;
	}

	private void assertComplete(String batch, List<CompletableFuture<EntryClient.Response>> answers) {
		for (int i = 0; i < answers.size(); i++) {
			EntryClient.Response answer = join(answers.get(i));
			assertWithMessage("%s %s: %s\n%s", batch, i, answer, this.fleet.log("entry")).that(answer.complete())
				.isTrue();
			assertThat(EngineText.isComplete(answer.streamedText(), batch + " " + i, TOKENS)).isTrue();
		}
	}

	@Test
	void completesAnswersWhenASidecarIsKilled() {
		List<CompletableFuture<EntryClient.Response>> killed = startStreams("killed");
		this.fleet.signal("sidecar-runner-1", "KILL");
		assertComplete("killed", killed);
	}

	@Test
	void completesAnswersWhenASidecarIsSuspended() {
		List<CompletableFuture<EntryClient.Response>> suspended = startStreams("frozen");
		this.fleet.signal("sidecar-runner-1", "STOP");
		assertComplete("frozen", suspended);
		this.fleet.signal("sidecar-runner-1", "CONT");
	}

	@Test
	void completesAnswersWhenASidecarIsSuspendedBeforeItsResponsesStart() {
		this.fleet.signal("sidecar-runner-1", "STOP");
		assertComplete("unanswered", startStreams("unanswered"));
		this.fleet.signal("sidecar-runner-1", "CONT");
	}

	@Test
	void cutsNoAnswerWhenASidecarAndThenTheEntryAreTerminated() {
		List<CompletableFuture<EntryClient.Response>> drained = startStreams("drained");
		this.fleet.signal("sidecar-runner-1", "TERM");
		assertComplete("drained", drained);
		assertThat(this.fleet.awaitEnd("sidecar-runner-1")).isTrue();
		List<CompletableFuture<EntryClient.Response>> last = startStreams("last");
		this.fleet.signal("entry", "TERM");
		assertComplete("last", last);
		assertThat(this.fleet.awaitEnd("entry")).isTrue();
	}

	@Test
	void refusesReservationsAsNotRunAndAnswersReadsWhileThePlatformIsDown() {
		this.fleet.signal("platform", "KILL");
		EntryClient.Response reservation = join(this.caller.send("POST", "/services/booking/reservations",
				Map.of("Idempotency-Key", "slot"), "{\"slot\":1}"));
		assertThat(reservation.status()).isEqualTo(503);
		assertThat(reservation.body()).contains("\"verdict\":\"not-run\"");
		EntryClient.Response lookup = join(this.caller.send("GET", "/services/booking/availability", Map.of(), ""));
		assertThat(lookup.status()).isEqualTo(200);
		assertComplete("outage", startStreams("outage"));
	}

}
