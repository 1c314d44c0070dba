package io.bulrushrouter.request;

import java.util.ArrayList;
import java.util.EnumSet;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.stream.IntStream;

import io.bulrushrouter.kernel.AttemptId;
import io.bulrushrouter.kernel.RequestId;
import io.bulrushrouter.kernel.UpstreamId;
import io.bulrushrouter.request.FaultCell.Fault;
import io.bulrushrouter.request.FaultCell.Step;

/**
 * A simulated system of two entries, three sidecars with engines, a store and a network,
 * with the faults of one cell injected.
 */
final class SimulatedSystem {

	static final int UPSTREAMS = 3;

	static final long PAUSE_MILLIS = 300;

	private static final List<UpstreamId> UPSTREAM_IDS = IntStream.range(0, UPSTREAMS)
		.mapToObj((i) -> UpstreamId.of("u" + i))
		.toList();

	final SimulatedClock clock = new SimulatedClock();

	final FaultCell cell;

	final Guards guards;

	final SimulatedStore store;

	final List<SimulatedCaller> callers = new ArrayList<>();

	final List<EngineStart> starts = new ArrayList<>();

	final Map<UpstreamId, Long> drainedAtNanos = new HashMap<>();

	private final List<SimulatedEntry> entries;

	private final List<SimulatedSidecar> sidecars;

	private final Set<Step> reachedSteps = EnumSet.noneOf(Step.class);

	private final SimulatedCaller watched;

	private UpstreamId watchedUpstream = upstream(0);

	private Optional<Fault> nextMessageFault = Optional.empty();

	private long incarnations = 100;

	SimulatedSystem(FaultCell cell, Guards guards) {
		this.cell = cell;
		this.guards = guards;
		this.store = new SimulatedStore(this);
		this.entries = List.of(new SimulatedEntry(this, 0), new SimulatedEntry(this, 1));
		this.sidecars = UPSTREAM_IDS.stream().map((upstream) -> new SimulatedSidecar(this, upstream)).toList();
		this.watched = SimulatedCaller.of("w0", cell.kind());
	}

	SimulatedSystem run() {
		this.callers.add(this.watched);
		this.clock.after(1, () -> this.entries.get(0).submit(this.watched));
		submitLater(this.entries.get(1), 2, "b1", FaultCell.Kind.RESERVATION);
		submitLater(this.entries.get(1), 4, this.watched.spec.idempotent() ? "w0" : "b2", this.cell.kind());
		submitLater(this.entries.get(0), 420, "b3", FaultCell.Kind.READ);
		submitLater(this.entries.get(1), 430, "b4", FaultCell.Kind.RESERVATION);
		this.clock.runUntil((2 * SimulatedEntry.DEADLINE_MILLIS + 2 * PAUSE_MILLIS) * SimulatedClock.MILLIS);
		return this;
	}

	SimulatedCaller watched() {
		return this.watched;
	}

	Set<Step> reachedSteps() {
		return this.reachedSteps;
	}

	static List<UpstreamId> upstreams() {
		return UPSTREAM_IDS;
	}

	static UpstreamId upstream(int number) {
		return UPSTREAM_IDS.get(number);
	}

	SimulatedSidecar sidecar(UpstreamId upstream) {
		return this.sidecars.get(UPSTREAM_IDS.indexOf(upstream));
	}

	long nextIncarnation() {
		this.incarnations++;
		return this.incarnations;
	}

	void submitLater(SimulatedEntry entry, long millis, String tag, FaultCell.Kind kind) {
		SimulatedCaller caller = SimulatedCaller.of(tag, kind);
		this.callers.add(caller);
		this.clock.after(millis, () -> entry.submit(caller));
	}

	void watchUpstream(SimulatedCaller caller, UpstreamId upstream) {
		if (caller == this.watched) {
			this.watchedUpstream = upstream;
		}
	}

	void reach(SimulatedCaller caller, Step step) {
		if (caller != this.watched || !this.reachedSteps.add(step)) {
			return;
		}
		this.cell.injections()
			.stream()
			.filter((injection) -> injection.step() == step)
			.forEach((injection) -> inject(injection.fault()));
	}

	void reach(RequestId request, Step step) {
		if (this.watched.id.equals(Optional.of(request))) {
			reach(this.watched, step);
		}
	}

	void reachClaim(Step step) {
		reach(this.watched, step);
	}

	private void inject(Fault fault) {
		SimulatedSidecar sidecar = sidecar(this.watchedUpstream);
		SimulatedEntry entry = this.entries.get(0);
		switch (fault) {
			case MESSAGE_LOST, MESSAGE_LATE, MESSAGE_VERY_LATE, MESSAGE_DUPLICATED, MESSAGE_REORDERED ->
				setNextMessageFault(fault);
			case CONNECTION_LOST -> loseConnection(entry, sidecar);
			case ENTRY_DIES -> this.clock.after(0, entry::die);
			case ENTRY_PAUSED -> entry.pause(PAUSE_MILLIS);
			case SIDECAR_DIES -> this.clock.after(0, sidecar::die);
			case SIDECAR_PAUSED -> sidecar.pause(PAUSE_MILLIS);
			case ENGINE_DIES -> this.clock.after(0, sidecar.engine::die);
			case RANK_STALLED -> sidecar.engine.stall(PAUSE_MILLIS * 4);
			case HOME_DIES -> this.clock.after(0, sidecar(sidecar.homeOf(this.watched))::die);
			case HOME_PAUSED -> sidecar(sidecar.homeOf(this.watched)).pause(PAUSE_MILLIS);
			case DRAINED -> drainLater(sidecar);
			case DRAINS_RACE -> {
				drainLater(sidecar);
				drainLater(sidecar(upstream((UPSTREAM_IDS.indexOf(this.watchedUpstream) + 1) % UPSTREAMS)));
				drainLater(sidecar);
			}
			case CALLER_GONE -> this.clock.after(0, () -> entry.deliver(() -> entry.disconnect(this.watched)));
			case CALLER_REPEATS -> submitLater(this.entries.get(1), 3, "w0", this.cell.kind());
			default -> this.store.inject(fault);
		}
	}

	private void setNextMessageFault(Fault fault) {
		this.nextMessageFault = Optional.of(fault);
	}

	private void drainLater(SimulatedSidecar sidecar) {
		this.clock.after(0, () -> sidecar.deliver(() -> {
			this.drainedAtNanos.putIfAbsent(sidecar.upstream, this.clock.nowNanos());
			sidecar.drain();
		}));
	}

	private void loseConnection(SimulatedEntry entry, SimulatedSidecar sidecar) {
		long incarnation = entry.incarnation;
		this.clock.after(1, () -> entry.deliver(() -> entry.loseConnection(sidecar.upstream)));
		this.clock.after(1, () -> sidecar.deliver(() -> sidecar.loseEntryConnection(incarnation)));
	}

	void sendToSidecar(SimulatedCaller caller, SimulatedEntry entry, UpstreamId upstream, CallMessage message) {
		SimulatedSidecar sidecar = sidecar(upstream);
		long entryIncarnation = entry.incarnation;
		long addressed = sidecar.incarnation;
		boolean call = message instanceof CallMessage.Call;
		reach(caller, call ? Step.CALL_SENT : Step.CANCEL_SENT);
		transmit(caller == this.watched, () -> sidecar.deliver(() -> {
			if (call) {
				reach(caller, Step.CALL_ARRIVED);
			}
			sidecar.deliver(() -> sidecar.receive(entry, entryIncarnation, addressed, message));
		}));
	}

	void sendToEntry(SimulatedSidecar sidecar, SimulatedEntry entry, CallMessage message) {
		boolean toWatched = this.watched.id.equals(Optional.of(message.attempt().request()));
		long incarnation = sidecar.incarnation;
		if (toWatched) {
			reach(this.watched, stepOf(message));
		}
		transmit(toWatched, () -> entry.deliver(() -> entry.receive(sidecar.upstream, incarnation, message)));
	}

	void sendToPeer(SimulatedSidecar from, UpstreamId to, ClaimMessage message) {
		SimulatedSidecar peer = sidecar(to);
		if (!peer.alive) {
			this.clock.after(1, () -> from.deliver(() -> from.route(new ClaimEvent.PeerLost(to))));
			return;
		}
		long incarnation = peer.incarnation;
		this.clock.after(1, () -> peer.deliver(() -> {
			if (peer.incarnation == incarnation) {
				peer.route(new ClaimEvent.Received(from.upstream, message));
			}
		}));
	}

	private static Step stepOf(CallMessage message) {
		if (message instanceof CallMessage.Head) {
			return Step.HEAD_SENT;
		}
		if (message instanceof CallMessage.Data) {
			return Step.DATA_SENT;
		}
		return (message instanceof CallMessage.End) ? Step.END_SENT : Step.REFUSAL_SENT;
	}

	private void transmit(boolean aboutWatched, Runnable delivery) {
		Optional<Fault> fault = aboutWatched ? this.nextMessageFault : Optional.empty();
		if (aboutWatched) {
			this.nextMessageFault = Optional.empty();
		}
		if (fault.isEmpty()) {
			this.clock.after(1, delivery);
			return;
		}
		switch (fault.get()) {
			case MESSAGE_LATE -> this.clock.after(25, delivery);
			case MESSAGE_VERY_LATE -> this.clock.after(900, delivery);
			case MESSAGE_REORDERED -> this.clock.after(8, delivery);
			case MESSAGE_DUPLICATED -> List.of(1, 2, 40, 700).forEach((millis) -> this.clock.after(millis, delivery));
			default -> {
			}
		}
	}

	void entryDied(SimulatedEntry entry) {
		for (SimulatedSidecar sidecar : this.sidecars) {
			long incarnation = entry.incarnation;
			this.clock.after(1, () -> sidecar.deliver(() -> sidecar.loseEntryConnectionsBefore(entry, incarnation)));
		}
	}

	void sidecarDied(SimulatedSidecar sidecar) {
		this.sidecars.stream()
			.filter((peer) -> peer != sidecar)
			.forEach((peer) -> this.clock.after(2,
					() -> peer.deliver(() -> peer.route(new ClaimEvent.PeerLost(sidecar.upstream)))));
		this.entries
			.forEach((entry) -> this.clock.after(2, () -> entry.deliver(() -> entry.loseConnection(sidecar.upstream))));
	}

	void engineStarted(SimulatedSidecar sidecar, SidecarAction.RunOnEngine run) {
		this.starts.add(new EngineStart(this.clock.nowNanos(), sidecar.upstream, run.attempt(), run.spec()));
		reach(run.attempt().request(), Step.ENGINE_RUNS);
	}

	/**
	 * A request that an engine started.
	 *
	 * @param nanos when it started
	 * @param upstream the engine's upstream
	 * @param attempt the attempt
	 * @param spec the request
	 */
	record EngineStart(long nanos, UpstreamId upstream, AttemptId attempt, RequestSpec spec) {
	}

}
