package io.bulrushrouter.request;

import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

import io.bulrushrouter.kernel.AttemptId;
import io.bulrushrouter.kernel.ErrorCode;

/**
 * A simulated engine that records each request it starts.
 */
final class SimulatedEngine {

	private static final int CHUNK_TOKENS = 2;

	private static final long CHUNK_INTERVAL_MILLIS = 4;

	private final SimulatedSystem system;

	private final SimulatedSidecar sidecar;

	private final Map<AttemptId, SidecarAction.RunOnEngine> running = new LinkedHashMap<>();

	private boolean alive = true;

	private long stalledUntilNanos;

	SimulatedEngine(SimulatedSystem system, SimulatedSidecar sidecar) {
		this.system = system;
		this.sidecar = sidecar;
	}

	void run(SidecarAction.RunOnEngine run) {
		if (!this.alive) {
			notifySidecar(new SidecarEvent.EngineFailed(run.attempt(), ErrorCode.ENGINE_UNREACHABLE, false));
			return;
		}
		this.running.put(run.attempt(), run);
		this.system.clock.after(1, () -> begin(run));
	}

	private void begin(SidecarAction.RunOnEngine run) {
		if (!this.running.containsKey(run.attempt())) {
			return;
		}
		this.system.engineStarted(this.sidecar, run);
		List<SidecarEvent> answer = new ArrayList<>();
		answer.add(new SidecarEvent.EngineHead(run.attempt(), 200, "text/plain"));
		for (int i = run.resumeAfterTokens(); i < SimulatedCaller.TOKENS; i += CHUNK_TOKENS) {
			answer.add(chunk(run, i));
		}
		answer.add(new SidecarEvent.EngineEnd(run.attempt()));
		scheduleNext(run, answer.iterator());
	}

	private static SidecarEvent chunk(SidecarAction.RunOnEngine run, int from) {
		StringBuilder text = new StringBuilder();
		int to = Math.min(from + CHUNK_TOKENS, SimulatedCaller.TOKENS);
		for (int i = from; i < to; i++) {
			text.append(SimulatedCaller.token(run.spec(), i));
		}
		return new SidecarEvent.EngineData(run.attempt(), text.toString().getBytes(StandardCharsets.UTF_8), to - from);
	}

	private void scheduleNext(SidecarAction.RunOnEngine run, Iterator<SidecarEvent> answer) {
		long due = this.system.clock.nowNanos() + CHUNK_INTERVAL_MILLIS * SimulatedClock.MILLIS;
		this.system.clock.at(Math.max(due, this.stalledUntilNanos), () -> {
			if (this.system.clock.nowNanos() < this.stalledUntilNanos) {
				scheduleNext(run, answer);
			}
			else if (this.running.containsKey(run.attempt())) {
				notifySidecar(answer.next());
				continueOrEnd(run, answer);
			}
		});
	}

	private void continueOrEnd(SidecarAction.RunOnEngine run, Iterator<SidecarEvent> answer) {
		if (answer.hasNext()) {
			scheduleNext(run, answer);
		}
		else {
			this.running.remove(run.attempt());
		}
	}

	private void notifySidecar(SidecarEvent event) {
		this.sidecar.deliverToIncarnation(() -> this.sidecar.handle(event));
	}

	void cancel(AttemptId attempt) {
		if (this.running.remove(attempt) != null) {
			notifySidecar(new SidecarEvent.EngineFailed(attempt, ErrorCode.CANCELLED, true));
		}
	}

	void onSidecarDeath() {
		this.running.values().removeIf((run) -> run.spec().idempotent());
	}

	void stall(long millis) {
		this.stalledUntilNanos = this.system.clock.nowNanos() + millis * SimulatedClock.MILLIS;
	}

	void die() {
		this.alive = false;
		List<AttemptId> lost = List.copyOf(this.running.keySet());
		this.running.clear();
		lost.forEach((attempt) -> notifySidecar(new SidecarEvent.EngineFailed(attempt, ErrorCode.ENGINE_ERROR, true)));
		this.system.clock.after(100, () -> this.alive = true);
	}

}
