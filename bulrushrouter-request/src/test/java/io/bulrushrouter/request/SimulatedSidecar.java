package io.bulrushrouter.request;

import java.time.Duration;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

import io.bulrushrouter.kernel.RequestId;
import io.bulrushrouter.kernel.UpstreamId;

/**
 * A sidecar process beside its engine.
 */
final class SimulatedSidecar extends SimulatedProcess {

	private static final long LIST_MILLIS = 50;

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
		boot(true);
	}

	private void boot(boolean open) {
		this.router = ClaimRouter.of(this.upstream, CLAIMS, Duration.ofMillis(400));
		this.router.live(SimulatedSystem.upstreams());
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
			feed(new SidecarEvent.Arrived(entryIncarnation, addressed, call));
		}
		else if (message instanceof CallMessage.Cancel cancel) {
			feed(new SidecarEvent.CancelArrived(entryIncarnation, cancel));
		}
	}

	void drain() {
		this.leaving = true;
		feed(new SidecarEvent.DrainSign());
	}

	boolean leaving() {
		return this.leaving;
	}

	void feed(SidecarEvent event) {
		this.calls.on(event, this.system.clock.nowNanos(), this::act);
		if (this.calls.nextWakeNanos() != Long.MAX_VALUE) {
			wakeAt(this.calls.nextWakeNanos(), this::wake);
		}
	}

	private void wake() {
		if (this.calls.nextWakeNanos() <= this.system.clock.nowNanos()) {
			feed(new SidecarEvent.Tick());
		}
	}

	private void act(SidecarAction action) {
		if (action instanceof SidecarAction.Reply reply) {
			this.system.toEntry(this, this.connections.get(reply.connection()), reply.message());
		}
		else if (action instanceof SidecarAction.RunOnEngine run) {
			this.system.reach(run.attempt().request(), FaultCell.Step.ENGINE_TOLD);
			this.engine.run(run);
		}
		else if (action instanceof SidecarAction.CancelOnEngine cancel) {
			this.engine.cancel(cancel.attempt());
		}
		else if (action instanceof SidecarAction.Claim claim) {
			route(new ClaimEvent.Wanted(claim.request()));
		}
		else if (action instanceof SidecarAction.Release release) {
			route(new ClaimEvent.GivenUp(release.request()));
		}
	}

	void route(ClaimEvent event) {
		this.router.on(event, this.system.clock.nowNanos(), this::act);
		if (this.router.nextWakeNanos() != Long.MAX_VALUE) {
			wakeAt(this.router.nextWakeNanos(), () -> route(new ClaimEvent.Tick()));
		}
	}

	private void act(ClaimAction action) {
		if (action instanceof ClaimAction.ClaimHere claim) {
			this.claims.claim(claim.request(),
					(outcome) -> route(new ClaimEvent.DecidedHere(claim.request(), outcome)));
			wakeClaims();
		}
		else if (action instanceof ClaimAction.ReleaseHere release) {
			this.claims.release(release.request());
			wakeClaims();
		}
		else if (action instanceof ClaimAction.Send send) {
			this.system.toPeer(this, send.upstream(), send.message());
		}
		else if (action instanceof ClaimAction.Settle settle) {
			feed(new SidecarEvent.ClaimSettled(settle.attempt(), settle.outcome()));
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

	void loseEntry(long entryIncarnation) {
		if (this.connections.containsKey(entryIncarnation)) {
			feed(new SidecarEvent.EntryLost(entryIncarnation));
		}
	}

	void loseEntriesBefore(SimulatedEntry entry, long incarnation) {
		List.copyOf(this.connections.keySet())
			.stream()
			.filter((connection) -> this.connections.get(connection) == entry && connection < incarnation)
			.forEach(this::loseEntry);
	}

	@Override
	void onDeath() {
		this.connections.clear();
		this.engine.loseSidecar();
		this.system.sidecarDied(this);
	}

	@Override
	void onRestart() {
		boot(false);
		wakeAt(this.system.clock.nowNanos() + LIST_MILLIS * SimulatedClock.MILLIS,
				() -> feed(this.leaving ? new SidecarEvent.DrainSign() : new SidecarEvent.OpenSign()));
	}

}
