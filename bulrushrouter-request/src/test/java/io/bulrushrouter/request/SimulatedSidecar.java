package io.bulrushrouter.request;

import java.time.Duration;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

import io.bulrushrouter.kernel.RequestId;
import io.bulrushrouter.kernel.UpstreamId;

/**
 * A simulated sidecar process with its engine.
 */
final class SimulatedSidecar extends SimulatedProcess {

	private static final long LIVE_LIST_DELAY_MILLIS = 50;

	private static final ClaimsPolicy CLAIMS = new ClaimsPolicy(2, 4, 3, Duration.ofMillis(5), Duration.ZERO,
			Duration.ofMillis(500), Duration.ofMillis(50));

	final UpstreamId upstream;

	final SimulatedEngine engine;

	private final Map<Long, SimulatedEntry> connections = new HashMap<>();

	private SidecarCalls calls;

	private Claims claims;

	private ClaimRouter router;

	private boolean leaving;

	SimulatedSidecar(SimulatedSystem system, UpstreamId upstream) {
		super(system);
		this.upstream = upstream;
		this.engine = new SimulatedEngine(system, this);
		initialise(true);
	}

	private void initialise(boolean open) {
		this.router = ClaimRouter.of(this.upstream, CLAIMS, Duration.ofMillis(400));
		this.router.liveSidecars(SimulatedSystem.upstreams());
		this.calls = SidecarCalls.of(this.incarnation, SidecarPolicy.of(2), CallQueue.ofFifo(16), this.system.guards,
				open);
		this.claims = Claims.builder(this.system.store, this.incarnation)
			.policy(CLAIMS)
			.clock(this.system.clock::nowNanos)
			.epochSeconds(() -> this.system.clock.nowNanos() / SimulatedClock.MILLIS)
			.executor((task) -> deliverToIncarnation(() -> {
				task.run();
				wakeClaims();
			}))
			.build();
	}

	void receive(SimulatedEntry entry, long entryIncarnation, long addressed, CallMessage message) {
		this.connections.put(entryIncarnation, entry);
		if (message instanceof CallMessage.Call call) {
			handle(new SidecarEvent.CallReceived(entryIncarnation, addressed, call));
		}
		else if (message instanceof CallMessage.Cancel cancel) {
			handle(new SidecarEvent.CancelReceived(entryIncarnation, cancel));
		}
	}

	void drain() {
		this.leaving = true;
		handle(new SidecarEvent.DrainRequested());
	}

	boolean leaving() {
		return this.leaving;
	}

	void handle(SidecarEvent event) {
		this.calls.on(event, this.system.clock.nowNanos(), this::act);
		if (this.calls.nextWakeNanos() != Long.MAX_VALUE) {
			wakeAt(this.calls.nextWakeNanos(), this::wake);
		}
	}

	private void wake() {
		if (this.calls.nextWakeNanos() <= this.system.clock.nowNanos()) {
			handle(new SidecarEvent.Tick());
		}
	}

	private void act(SidecarAction action) {
		if (action instanceof SidecarAction.Reply reply) {
			this.system.sendToEntry(this, this.connections.get(reply.connection()), reply.message());
		}
		else if (action instanceof SidecarAction.RunOnEngine run) {
			this.system.reach(run.attempt().request(), FaultCell.Step.ENGINE_TOLD);
			this.engine.run(run);
		}
		else if (action instanceof SidecarAction.CancelOnEngine cancel) {
			this.engine.cancel(cancel.attempt());
		}
		else if (action instanceof SidecarAction.Claim claim) {
			route(new ClaimEvent.ClaimRequested(claim.request()));
		}
		else if (action instanceof SidecarAction.Release release) {
			route(new ClaimEvent.ReleaseRequested(release.request()));
		}
	}

	void route(ClaimEvent event) {
		this.router.on(event, this.system.clock.nowNanos(), this::act);
		if (this.router.nextWakeNanos() != Long.MAX_VALUE) {
			wakeAt(this.router.nextWakeNanos(), () -> route(new ClaimEvent.Tick()));
		}
	}

	private void act(ClaimAction action) {
		if (action instanceof ClaimAction.ClaimLocally claim) {
			this.claims.claim(claim.request(),
					(outcome) -> route(new ClaimEvent.DecidedLocally(claim.request(), outcome)));
			wakeClaims();
		}
		else if (action instanceof ClaimAction.ReleaseLocally release) {
			this.claims.release(release.request());
			wakeClaims();
		}
		else if (action instanceof ClaimAction.Send send) {
			this.system.sendToPeer(this, send.upstream(), send.message());
		}
		else if (action instanceof ClaimAction.Settle settle) {
			handle(new SidecarEvent.ClaimSettled(settle.attempt(), settle.outcome()));
		}
	}

	UpstreamId homeOf(SimulatedCaller caller) {
		return this.router.homeOf(new ClaimRequest(new RequestId(0, 0).attempt(1), 0, caller.spec.organisation(),
				caller.spec.idempotencyKey().map((key) -> "k:" + key).orElse(""), 0));
	}

	private void wakeClaims() {
		if (this.claims.nextWakeNanos() != Long.MAX_VALUE) {
			wakeAt(this.claims.nextWakeNanos(), () -> {
				this.claims.tick();
				wakeClaims();
			});
		}
	}

	void loseEntryConnection(long entryIncarnation) {
		if (this.connections.containsKey(entryIncarnation)) {
			handle(new SidecarEvent.EntryConnectionLost(entryIncarnation));
		}
	}

	void loseEntryConnectionsBefore(SimulatedEntry entry, long incarnation) {
		List.copyOf(this.connections.keySet())
			.stream()
			.filter((connection) -> this.connections.get(connection) == entry && connection < incarnation)
			.forEach(this::loseEntryConnection);
	}

	@Override
	void onDeath() {
		this.connections.clear();
		this.engine.onSidecarDeath();
		this.system.sidecarDied(this);
	}

	@Override
	void onRestart() {
		initialise(false);
		wakeAt(this.system.clock.nowNanos() + LIVE_LIST_DELAY_MILLIS * SimulatedClock.MILLIS,
				() -> handle(this.leaving ? new SidecarEvent.DrainRequested() : new SidecarEvent.AdmissionOpened()));
	}

}
