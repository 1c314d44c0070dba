package io.bulrushrouter.request;

import java.time.Duration;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;

import io.bulrushrouter.kernel.RequestId;
import io.bulrushrouter.kernel.UpstreamId;

/**
 * A simulated entry process.
 */
final class SimulatedEntry extends SimulatedProcess {

	static final long DEADLINE_MILLIS = 1000;

	private final int number;

	private final Map<Long, EntryCall> calls = new HashMap<>();

	private final Map<Long, SimulatedCaller> callers = new HashMap<>();

	private RetryBudget budget = RetryBudget.ofDefaults();

	private long lastNumber;

	SimulatedEntry(SimulatedSystem system, int number) {
		super(system);
		this.number = number;
	}

	void submit(SimulatedCaller caller) {
		caller.deadlineNanos = this.system.clock.nowNanos() + DEADLINE_MILLIS * SimulatedClock.MILLIS;
		if (!this.alive) {
			caller.end("unreachable", Optional.empty(), this.system.clock.nowNanos());
			return;
		}
		this.lastNumber++;
		RequestId id = new RequestId(this.incarnation, this.lastNumber);
		caller.id = Optional.of(id);
		EntryCall call = EntryCall.of(id, caller.spec, caller.deadlineNanos, policy(), this.budget,
				(excluded, now) -> pick(id, excluded), this.system.guards);
		this.calls.put(id.number(), call);
		this.callers.put(id.number(), caller);
		this.system.reach(caller, FaultCell.Step.ADMITTED);
		deliverToIncarnation(() -> handle(call, new EntryEvent.Start()));
		wakeAt(caller.deadlineNanos, () -> handle(call, new EntryEvent.Tick()));
	}

	private EntryPolicy policy() {
		FaultCell.Kind kind = this.system.cell.kind();
		return EntryPolicy.builder()
			.resumesStreams(kind != FaultCell.Kind.RERUN_STREAM)
			.hedgeDelay((kind == FaultCell.Kind.HEDGED_READ) ? Optional.of(Duration.ofMillis(30)) : Optional.empty())
			.stallTimeout(Duration.ofMillis(200))
			.build();
	}

	private Optional<UpstreamId> pick(RequestId id, Set<UpstreamId> excluded) {
		int first = (int) ((this.system.cell.seed() + this.number + id.number()) % SimulatedSystem.UPSTREAMS);
		for (int i = 0; i < SimulatedSystem.UPSTREAMS; i++) {
			UpstreamId upstream = SimulatedSystem.upstream((first + i) % SimulatedSystem.UPSTREAMS);
			if (!excluded.contains(upstream)) {
				return Optional.of(upstream);
			}
		}
		return Optional.empty();
	}

	void receive(UpstreamId upstream, long upstreamIncarnation, CallMessage message) {
		EntryCall call = this.calls.get(message.attempt().request().number());
		if (call != null) {
			handle(call, new EntryEvent.Received(upstream, upstreamIncarnation, message));
		}
	}

	void loseConnection(UpstreamId upstream) {
		List.copyOf(this.calls.values()).forEach((call) -> handle(call, new EntryEvent.ConnectionLost(upstream)));
	}

	void disconnect(SimulatedCaller caller) {
		EntryCall call = caller.id.map((id) -> this.calls.get(id.number())).orElse(null);
		if (call != null && call.id().equals(caller.id.get()) && call.verdict().isEmpty()) {
			caller.end("gone", Optional.empty(), this.system.clock.nowNanos());
			handle(call, new EntryEvent.CallerDisconnected());
		}
	}

	private void handle(EntryCall call, EntryEvent event) {
		SimulatedCaller caller = this.callers.get(call.id().number());
		call.on(event, this.system.clock.nowNanos(), (action) -> act(call, caller, action));
		if (call.nextWakeNanos() != Long.MAX_VALUE && !(event instanceof EntryEvent.Sent)) {
			wakeAt(call.nextWakeNanos(), () -> wake(call));
		}
	}

	private void wake(EntryCall call) {
		if (call.nextWakeNanos() <= this.system.clock.nowNanos()) {
			handle(call, new EntryEvent.Tick());
		}
	}

	private void act(EntryCall call, SimulatedCaller caller, EntryAction action) {
		if (action instanceof EntryAction.Send send) {
			send(call, caller, send);
		}
		else if (action instanceof EntryAction.SendCancel cancel) {
			this.system.sendToSidecar(caller, this, cancel.upstream(), cancel.cancel());
		}
		else {
			caller.handle(action, this.system.clock.nowNanos());
		}
	}

	private void send(EntryCall call, SimulatedCaller caller, EntryAction.Send send) {
		SimulatedSidecar sidecar = this.system.sidecar(send.upstream());
		int attempt = send.call().attempt().attempt();
		this.system.watchUpstream(caller, send.upstream());
		if (!sidecar.alive) {
			handle(call, new EntryEvent.SendFailed(attempt));
			return;
		}
		call.on(new EntryEvent.Sent(attempt, sidecar.incarnation), this.system.clock.nowNanos(), (action) -> {
		});
		this.system.sendToSidecar(caller, this, send.upstream(), send.call());
	}

	@Override
	void onDeath() {
		this.callers.values()
			.stream()
			.filter((caller) -> caller.outcomes.isEmpty())
			.forEach((caller) -> caller.end("reset", Optional.empty(), this.system.clock.nowNanos()));
		this.calls.clear();
		this.callers.clear();
		this.lastNumber = 0;
		this.system.entryDied(this);
	}

	@Override
	void onRestart() {
		this.budget = RetryBudget.ofDefaults();
		this.system.submitLater(this, 0, "n" + this.number, FaultCell.Kind.READ);
	}

}
