package io.bulrushrouter.daemon.demo;

import java.time.LocalDate;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeSet;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.ObjectMapper;

import io.bulrushrouter.http.StreamingHttpClient;
import io.bulrushrouter.standin.EngineText;

/**
 * Runs the scenarios of the demonstration: streams, reservations, a morning sheet applied
 * while requests run, and the failure of an engine.
 */
final class DemoScript {

	private static final ObjectMapper JSON = new ObjectMapper();

	private static final int OK = 200;

	private static final int STREAMS = 120;

	private static final int TOKENS = 40;

	private static final int RESERVATIONS = 30;

	private static final int ORGANISATIONS = 10;

	private static final String DRAINED_UPSTREAM = "runner-1";

	private static final String KILLED_UPSTREAM = "runner-2";

	private static final long RESPONSE_TIMEOUT_SECONDS = 30;

	private static final long DRAIN_TIMEOUT_NANOS = TimeUnit.SECONDS.toNanos(30);

	private static final long POLL_INTERVAL_MILLIS = 1_000;

	private static final long KILL_DELAY_MILLIS = 50;

	private final Fleet fleet;

	private final StreamingHttpClient http;

	private final List<DemoLine> lines = new ArrayList<>();

	DemoScript(Fleet fleet, StreamingHttpClient http) {
		this.fleet = fleet;
		this.http = http;
	}

	List<DemoLine> run() {
		checkStreams("streamed answers, whole and the caller's own", streams("morning"));
		checkReservations();
		drainWhileRequestsRun();
		killWhileRequestsRun();
		return this.lines;
	}

	private EntryClient caller(int number) {
		int entry = number % this.fleet.entries().size();
		return new EntryClient(this.http, "http://127.0.0.1:" + this.fleet.entries().get(entry).callersPort(),
				Fleet.key(1 + number % ORGANISATIONS));
	}

	private EntryClient operator() {
		return new EntryClient(this.http, "http://127.0.0.1:" + this.fleet.entries().get(0).operatorsPort(),
				Fleet.operatorKey());
	}

	private List<CompletableFuture<EntryClient.Response>> streams(String batch) {
		List<CompletableFuture<EntryClient.Response>> answers = new ArrayList<>();
		for (int i = 0; i < STREAMS; i++) {
			answers.add(caller(i).stream(prompt(batch, i), TOKENS));
		}
		return answers;
	}

	private static String prompt(String batch, int number) {
		return "enquiry " + number + " of the " + batch;
	}

	private void checkStreams(String promise, List<CompletableFuture<EntryClient.Response>> answers) {
		String batch = promise.contains("sheet") ? "sheet" : (promise.contains("engine") ? "death" : "morning");
		int completeAnswers = 0;
		for (int i = 0; i < answers.size(); i++) {
			EntryClient.Response answer = join(answers.get(i));
			if (answer.complete() && EngineText.isComplete(answer.streamedText(), prompt(batch, i), TOKENS)) {
				completeAnswers++;
			}
		}
		this.lines.add(DemoLine.ofCount(promise, answers.size(), completeAnswers));
	}

	private static EntryClient.Response join(CompletableFuture<EntryClient.Response> answer) {
		return answer
			.completeOnTimeout(new EntryClient.Response(0, "", false), RESPONSE_TIMEOUT_SECONDS, TimeUnit.SECONDS)
			.join();
	}

	private void checkReservations() {
		List<CompletableFuture<EntryClient.Response>> answers = new ArrayList<>();
		for (int i = 0; i < RESERVATIONS; i++) {
			answers.add(reserve(i));
			answers.add(reserve(i));
		}
		answers.forEach(DemoScript::join);
		List<Integer> runs = new ArrayList<>();
		for (int i = 0; i < RESERVATIONS; i++) {
			runs.add(runsOf(i));
		}
		this.lines.add(DemoLine.ofCount("reservations sent twice that ran once", RESERVATIONS,
				runs.stream().filter((count) -> count == 1).count()));
	}

	private CompletableFuture<EntryClient.Response> reserve(int slot) {
		return caller(slot).send("POST", "/services/booking/reservations", Map.of("Idempotency-Key", "slot-" + slot),
				"{\"slot\":" + slot + "}");
	}

	private int runsOf(int slot) {
		String call = "POST /reservations {\"slot\":" + slot + "}";
		return this.fleet.services()
			.values()
			.stream()
			.mapToInt((service) -> service.runs().getOrDefault(call, 0))
			.sum();
	}

	private void drainWhileRequestsRun() {
		String today = LocalDate.now().toString();
		String plan = "{\"name\":\"demo\",\"date\":\"" + LocalDate.now().plusDays(7)
				+ "\",\"departures\":[{\"target\":\"upstream/" + DRAINED_UPSTREAM + "\",\"by\":\""
				+ LocalDate.now().plusDays(7) + "\"}],\"organisations\":[],\"stops\":[],\"cancelled\":false}";
		EntryClient.Response created = join(
				operator().send("PUT", "/admin/v1/plans/demo", Map.of("If-None-Match", "*"), plan));
		String sheet = "date,kind,name,state,stop-hour,to,note\n" + today + ",upstream," + DRAINED_UPSTREAM
				+ ",gone,,,demonstration\n,end,1,,,,\n";
		List<CompletableFuture<EntryClient.Response>> answers = streams("sheet");
		EntryClient.Response applied = join(operator().send("POST", "/admin/v1/plans/demo/sheet", Map.of(), sheet));
		long start = System.nanoTime();
		boolean stopped = awaitStopped();
		long drainMillis = TimeUnit.NANOSECONDS.toMillis(System.nanoTime() - start);
		this.lines.add(new DemoLine("plan created and sheet applied", "201 200",
				created.status() + " " + applied.status(), created.status() == 201 && applied.status() == 200));
		checkStreams("answers whole while the sheet's upstream drained", answers);
		this.lines.add(new DemoLine(DRAINED_UPSTREAM + " stopped after its last answer (ms)", "30000",
				Long.toString(drainMillis), stopped));
		checkNoNewRequestsAtDrainedUpstream();
	}

	private boolean awaitStopped() {
		long deadlineNanos = System.nanoTime() + DRAIN_TIMEOUT_NANOS;
		while (System.nanoTime() < deadlineNanos) {
			EntryClient.Response report = join(operator().send("GET", "/admin/v1/plans/demo/report", Map.of(), ""));
			if (report.status() == OK && remaining(report.body()) == 0) {
				return true;
			}
			pause(POLL_INTERVAL_MILLIS);
		}
		return false;
	}

	private static int remaining(String report) {
		try {
			return JSON.readTree(report).path("remaining").asInt(-1);
		}
		catch (JsonProcessingException ex) {
			return -1;
		}
	}

	private static void pause(long millis) {
		try {
			TimeUnit.MILLISECONDS.sleep(millis);
		}
		catch (InterruptedException ex) {
			Thread.currentThread().interrupt();
		}
	}

	private void checkNoNewRequestsAtDrainedUpstream() {
		Set<String> before = new TreeSet<>(this.fleet.engines().get(DRAINED_UPSTREAM).runs().keySet());
		streams("afternoon").forEach(DemoScript::join);
		Set<String> after = new TreeSet<>(this.fleet.engines().get(DRAINED_UPSTREAM).runs().keySet());
		after.removeAll(before);
		this.lines
			.add(DemoLine.ofCount("new requests at " + DRAINED_UPSTREAM + " after it was to leave", 0, after.size()));
	}

	private void killWhileRequestsRun() {
		List<CompletableFuture<EntryClient.Response>> answers = streams("death");
		pause(KILL_DELAY_MILLIS);
		this.fleet.engines().get(KILLED_UPSTREAM).close();
		checkStreams("answers whole though an engine died", answers);
		int truncatedStreams = (int) answers.stream().filter((answer) -> !join(answer).complete()).count();
		this.lines.add(DemoLine.ofCount("streams cut without an error event", 0, truncatedStreams));
	}

}
