package io.bulrushrouter.daemon.demo;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;

import io.netty.channel.EventLoopGroup;
import io.netty.channel.nio.NioEventLoopGroup;
import org.junit.jupiter.api.AfterAll;
import org.junit.jupiter.api.BeforeAll;
import org.junit.jupiter.api.Test;

import io.bulrushrouter.evacuation.EvacuationJson;
import io.bulrushrouter.evacuation.LeaseHolderStore;
import io.bulrushrouter.evacuation.Placements;
import io.bulrushrouter.http.StreamingHttpClient;
import io.bulrushrouter.kernel.DataCentreId;
import io.bulrushrouter.kernel.OrganisationId;
import io.bulrushrouter.kernel.store.ObjectKey;
import io.bulrushrouter.kernel.store.Write;
import io.bulrushrouter.kernel.store.WriteId;
import io.bulrushrouter.standin.EngineStandin;
import io.bulrushrouter.standin.EngineText;

import static com.google.common.truth.Truth.assertThat;
import static com.google.common.truth.Truth.assertWithMessage;

/**
 * End-to-end tests with all daemons in one process.
 */
class FleetTests {

	private static final int ANSWERS = 200;

	private static final int TOKENS = 24;

	private static EventLoopGroup network;

	private static StreamingHttpClient http;

	private static Fleet fleet;

	@BeforeAll
	static void start() {
		network = new NioEventLoopGroup(2);
		http = StreamingHttpClient.of(network);
		fleet = Fleet.builder().start();
		assertThat(fleet.awaitReady()).isTrue();
	}

	@AfterAll
	static void stop() {
		fleet.close();
		http.close();
		network.shutdownGracefully(0, 1, TimeUnit.SECONDS);
	}

	private static EntryClient caller(int entry, int organisation) {
		return new EntryClient(http, "http://127.0.0.1:" + fleet.entries().get(entry).callersPort(),
				Fleet.key(organisation));
	}

	@Test
	void streamsTwoHundredAnswersAtOnceEachWholeAndTheCallersOwn() {
		List<CompletableFuture<EntryClient.Response>> answers = new ArrayList<>();
		for (int i = 0; i < ANSWERS; i++) {
			answers.add(caller(i % 2, 1 + i % 10).stream("enquiry " + i, TOKENS));
		}
		for (int i = 0; i < ANSWERS; i++) {
			EntryClient.Response answer = answers.get(i).orTimeout(30, TimeUnit.SECONDS).join();
			assertWithMessage("answer %s: %s", i, answer).that(answer.complete()).isTrue();
			assertThat(EngineText.isComplete(answer.streamedText(), "enquiry " + i, TOKENS)).isTrue();
		}
	}

	@Test
	void keepsServingAfterMoreRequestsThanAllUpstreamsRunAtOnce() {
		for (int round = 0; round < 6; round++) {
			List<CompletableFuture<EntryClient.Response>> answers = new ArrayList<>();
			for (int i = 0; i < ANSWERS; i++) {
				answers.add(caller(i % 2, 1 + i % 10).stream("round " + round + " " + i, 2));
			}
			answers.forEach((answer) -> assertThat(answer.orTimeout(30, TimeUnit.SECONDS).join().complete()).isTrue());
		}
	}

	@Test
	void sendsAMovedOrganisationToItsDataCentre() {
		byte[] json = EvacuationJson
			.write(Placements.of(1, Map.of(OrganisationId.of("organisation-9"), DataCentreId.of("dc-3"))));
		fleet.platform()
			.store()
			.write(Write.ofCreate(ObjectKey.of(LeaseHolderStore.PLACEMENT_KIND, "test"), json, new WriteId("test")));
		int outside = sendAndCountRunsOutside(0);
		for (int round = 1; round < 60 && outside > 0; round++) {
			waitForPlacement();
			outside = sendAndCountRunsOutside(round);
		}
		assertThat(outside).isEqualTo(0);
		assertThat(sendAndCountRunsOutside(60)).isEqualTo(0);
	}

	private static int sendAndCountRunsOutside(int round) {
		int before = runsOutside("dc-3").size();
		for (int i = 0; i < 20; i++) {
			caller(i % 2, 9).stream("moved " + round + " " + i, 1).join();
		}
		return runsOutside("dc-3").size() - before;
	}

	private static Map<String, Integer> runsOutside(String dataCentre) {
		Map<String, Integer> runs = new HashMap<>();
		int number = 0;
		for (EngineStandin engine : fleet.engines().values()) {
			number++;
			if (!dataCentre.equals("dc-" + (1 + (number - 1) % 3))) {
				runs.putAll(engine.runs());
			}
		}
		return runs;
	}

	private static void waitForPlacement() {
		try {
			TimeUnit.MILLISECONDS.sleep(200);
		}
		catch (InterruptedException ex) {
			Thread.currentThread().interrupt();
		}
	}

	@Test
	void answersRepeatedReadsWithTheSameText() {
		EntryClient.Response first = caller(0, 1).stream("the same enquiry", TOKENS).join();
		EntryClient.Response second = caller(1, 1).stream("the same enquiry", TOKENS).join();
		assertThat(first.streamedText()).isNotEmpty();
		assertThat(second.streamedText()).isEqualTo(first.streamedText());
	}

	@Test
	void runsAReservationOnceThoughItsCallerRepeatsIt() {
		Map<String, String> headers = Map.of("Idempotency-Key", "slot-1");
		String body = "{\"slot\":1}";
		for (int i = 0; i < 4; i++) {
			caller(i % 2, 2).send("POST", "/services/booking/reservations", headers, body).join();
		}
		int runs = fleet.services()
			.values()
			.stream()
			.mapToInt((service) -> service.runs().getOrDefault("POST /reservations " + body, 0))
			.sum();
		assertThat(runs).isEqualTo(1);
	}

	@Test
	void refusesAnUnknownKeyAndAnUnknownModelAsNotRun() {
		EntryClient.Response unknownKey = caller(0, 99).stream("hello", 1).join();
		assertThat(unknownKey.status()).isEqualTo(401);
		assertThat(unknownKey.body()).contains("\"verdict\":\"not-run\"");
		EntryClient.Response unknown = caller(0, 1).send("POST", "/v1/completions", Map.of(), "{\"model\":\"none\"}")
			.join();
		assertThat(unknown.status()).isEqualTo(404);
		assertThat(unknown.body()).contains("unknown-model");
	}

}
