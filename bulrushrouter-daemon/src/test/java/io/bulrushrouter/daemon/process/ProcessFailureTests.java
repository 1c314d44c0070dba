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

import io.bulrushrouter.daemon.demo.Caller;
import io.bulrushrouter.daemon.demo.Fleet;
import io.bulrushrouter.http.StreamingHttpClient;
import io.bulrushrouter.standin.EngineText;

import static com.google.common.truth.Truth.assertThat;
import static com.google.common.truth.Truth.assertWithMessage;

/**
 * Tests for the daemons as processes that are killed, frozen and told to end.
 */
class ProcessFailureTests {

	private static final int STREAMS = 8;

	private static final int TOKENS = 100;

	private static final Caller.Answer NONE = new Caller.Answer(0, "", false);

	private final EventLoopGroup network = new NioEventLoopGroup(1);

	private final StreamingHttpClient http = StreamingHttpClient.of(this.network);

	private ProcessFleet fleet;

	private Caller caller;

	@BeforeEach
	void start(@TempDir Path directory) {
		this.fleet = new ProcessFleet(directory);
		this.caller = new Caller(this.http, "http://127.0.0.1:" + this.fleet.callersPort(), Fleet.key(1));
		Caller operator = new Caller(this.http, "http://127.0.0.1:" + this.fleet.operatorsPort(), "");
		for (int i = 0; i < 500 && !isReady(operator); i++) {
			ProcessFleet.pause(20);
		}
	}

	private boolean isReady(Caller operator) {
		String metrics = join(operator.send("GET", "/metrics", Map.of(), "")).body();
		return metrics.contains("bulrush_entry_connected_upstreams 3.0");
	}

	@AfterEach
	void stop() {
		this.fleet.close();
		this.http.close();
		this.network.shutdownGracefully(0, 1, TimeUnit.SECONDS);
	}

	private static Caller.Answer join(CompletableFuture<Caller.Answer> answer) {
		return answer.completeOnTimeout(NONE, 60, TimeUnit.SECONDS).join();
	}

	private List<CompletableFuture<Caller.Answer>> streams(String batch) {
		List<CompletableFuture<Caller.Answer>> answers = new ArrayList<>();
		for (int i = 0; i < STREAMS; i++) {
			answers.add(this.caller.stream(batch + " " + i, TOKENS));
		}
		ProcessFleet.pause(600);
		return answers;
	}

	private void assertWhole(String batch, List<CompletableFuture<Caller.Answer>> answers) {
		for (int i = 0; i < answers.size(); i++) {
			Caller.Answer answer = join(answers.get(i));
			assertWithMessage("%s %s: %s\n%s", batch, i, answer, this.fleet.log("entry")).that(answer.clean()).isTrue();
			assertThat(EngineText.isWhole(answer.streamedText(), batch + " " + i, TOKENS)).isTrue();
		}
	}

	@Test
	void answersWholeThoughASidecarIsKilled() {
		List<CompletableFuture<Caller.Answer>> killed = streams("killed");
		this.fleet.signal("sidecar-runner-1", "KILL");
		assertWhole("killed", killed);
	}

	@Test
	void answersWholeThoughASidecarIsFrozen() {
		List<CompletableFuture<Caller.Answer>> frozen = streams("frozen");
		this.fleet.signal("sidecar-runner-1", "STOP");
		assertWhole("frozen", frozen);
		this.fleet.signal("sidecar-runner-1", "CONT");
	}

	@Test
	void cutsNoAnswerWhenASidecarAndThenTheEntryAreToldToEnd() {
		List<CompletableFuture<Caller.Answer>> drained = streams("drained");
		this.fleet.signal("sidecar-runner-1", "TERM");
		assertWhole("drained", drained);
		assertThat(this.fleet.awaitEnd("sidecar-runner-1")).isTrue();
		List<CompletableFuture<Caller.Answer>> last = streams("last");
		this.fleet.signal("entry", "TERM");
		assertWhole("last", last);
		assertThat(this.fleet.awaitEnd("entry")).isTrue();
	}

	@Test
	void refusesReservationsAsNotRunAndAnswersReadsWhileThePlatformIsGone() {
		this.fleet.signal("platform", "KILL");
		Caller.Answer reservation = join(this.caller.send("POST", "/services/booking/reservations",
				Map.of("Idempotency-Key", "slot"), "{\"slot\":1}"));
		assertThat(reservation.status()).isEqualTo(503);
		assertThat(reservation.body()).contains("\"verdict\":\"not-run\"");
		Caller.Answer lookup = join(this.caller.send("GET", "/services/booking/availability", Map.of(), ""));
		assertThat(lookup.status()).isEqualTo(200);
		assertWhole("outage", streams("outage"));
	}

}
