package io.bulrushrouter.daemon.sidecar;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.TimeUnit;

import io.micrometer.core.instrument.Counter;

import io.bulrushrouter.daemon.node.ControlMessages;
import io.bulrushrouter.daemon.node.DecisionLog;
import io.bulrushrouter.daemon.node.Metrics;
import io.bulrushrouter.kernel.AttemptId;
import io.bulrushrouter.kernel.ErrorCode;
import io.bulrushrouter.kernel.TimeSource;
import io.bulrushrouter.kernel.UpstreamId;
import io.bulrushrouter.request.CallMessage;
import io.bulrushrouter.request.SidecarAction;
import io.bulrushrouter.request.SidecarCalls;
import io.bulrushrouter.request.SidecarEvent;
import io.bulrushrouter.routing.LoadReport;
import io.bulrushrouter.wire.ControlCodec;
import io.bulrushrouter.wire.PeerConnection;
import io.bulrushrouter.wire.WireMessage;

/**
 * The sidecar's state, owned by one duty: carries out what {@link SidecarCalls} decides.
 */
final class SidecarCore implements OrderDesk.Work {

	/** The time between two load reports to an entry that sends work. */
	private static final long REPORT_NANOS = TimeUnit.MILLISECONDS.toNanos(500);

	/** An entry gets load reports this long after its last request. */
	private static final long INTEREST_NANOS = TimeUnit.SECONDS.toNanos(10);

	private final long incarnation;

	private final SidecarCalls calls;

	private final EngineClient engine;

	private final ClaimDesk claims;

	private final OrderDesk orders;

	private final TimeSource time;

	private final Metrics metrics;

	private final Map<Long, Entry> entries = new HashMap<>();

	private final Map<SidecarAction.Decision, Counter> decisions = new HashMap<>();

	private final LoadWatch load;

	/** The call that is being decided. */
	private CallMessage.Call arriving;

	private boolean draining;

	/** Whether an entry has told that the upstream does not leave. */
	private boolean open;

	private boolean healthy = true;

	SidecarCore(long incarnation, SidecarCalls calls, EngineClient engine, ClaimDesk claims, OrderDesk orders,
			LoadWatch load, TimeSource time, Metrics metrics) {
		this.incarnation = incarnation;
		this.calls = calls;
		this.engine = engine;
		this.claims = claims;
		this.orders = orders;
		this.load = load;
		this.time = time;
		this.metrics = metrics;
	}

	void take(SidecarInput input) {
		if (input instanceof SidecarInput.PeerSaid said) {
			hear(said);
		}
		else if (input instanceof SidecarInput.Happened happened) {
			happen(happened.event());
		}
		else if (input instanceof SidecarInput.PeerUp up) {
			if (!isSidecar(up.connection())) {
				this.entries.put(up.connection().id(), new Entry(up.connection()));
				tellState(up.connection());
			}
		}
		else if (input instanceof SidecarInput.PeerDown down) {
			this.entries.remove(down.connection().id());
			if (isSidecar(down.connection())) {
				this.claims.lost(UpstreamId.of(down.connection().peer().name()));
			}
			step(new SidecarEvent.EntryLost(down.connection().id()));
		}
		else if (input instanceof SidecarInput.Sidecars live) {
			this.claims.live(live.sidecars());
		}
		else if (input instanceof SidecarInput.Continue next) {
			next.action().run();
		}
		else if (input instanceof SidecarInput.Health health) {
			become(health.healthy());
		}
		else if (input instanceof SidecarInput.EngineLoad told) {
			this.load.kvUse(told.kvUse());
		}
	}

	private static boolean isSidecar(PeerConnection connection) {
		return connection.peer().role().equals(SidecarNode.ROLE);
	}

	private void hear(SidecarInput.PeerSaid said) {
		long connection = said.connection().id();
		if (said.message() instanceof WireMessage.Control control) {
			hearControl(said.connection(), control);
		}
		if (!(said.message() instanceof WireMessage.CallEnvelope ofCall)) {
			return;
		}
		if (ofCall.message() instanceof CallMessage.Call call) {
			Optional.ofNullable(this.entries.get(connection)).ifPresent((entry) -> entry.workNanos = this.time.nanos());
			this.arriving = call;
			step(new SidecarEvent.Arrived(connection, this.incarnation, call));
		}
		else if (ofCall.message() instanceof CallMessage.Cancel cancel) {
			step(new SidecarEvent.CancelArrived(connection, cancel));
		}
	}

	private void hearControl(PeerConnection connection, WireMessage.Control control) {
		if (control.topic().equals(ControlMessages.ObserveUpstream.class.getSimpleName())) {
			var question = ControlCodec.decode(control, ControlMessages.ObserveUpstream.class);
			connection.send(ControlCodec.encode(this.orders.observe(question, this.calls.inFlight())));
		}
		else if (control.topic().equals(ControlMessages.OrderUpstream.class.getSimpleName())) {
			var order = ControlCodec.decode(control, ControlMessages.OrderUpstream.class);
			this.orders.take(order, this, (answer) -> connection.send(ControlCodec.encode(answer)));
		}
		else if (control.topic().equals(ControlMessages.Probe.class.getSimpleName())) {
			var probe = ControlCodec.decode(control, ControlMessages.Probe.class);
			LoadReport report = this.load.report(List.of(probe.prefixDigest()), this.time.nanos());
			connection.send(ControlCodec.encode(new ControlMessages.ProbeAnswer(probe.question(), report)));
		}
		else if (control.topic().equals(ControlMessages.UpstreamLastKnown.class.getSimpleName())) {
			open(ControlCodec.decode(control, ControlMessages.UpstreamLastKnown.class));
		}
		else {
			ClaimMessages.decode(control)
				.ifPresent((message) -> this.claims.hear(UpstreamId.of(connection.peer().name()), message));
		}
	}

	private void open(ControlMessages.UpstreamLastKnown lastKnown) {
		if (lastKnown.leaving()) {
			drain();
		}
		else if (!this.open) {
			this.open = true;
			step(new SidecarEvent.OpenSign());
			this.entries.values().forEach((entry) -> tellState(entry.connection));
		}
	}

	@Override
	public void drain() {
		happen(new SidecarEvent.DrainSign());
	}

	private void happen(SidecarEvent event) {
		if (event instanceof SidecarEvent.EngineEnd end) {
			this.engine.ended(end.attempt());
			this.load.ended(end.attempt());
		}
		else if (event instanceof SidecarEvent.EngineFailed failed) {
			this.engine.ended(failed.attempt());
			this.load.ended(failed.attempt());
			if (failed.code() == ErrorCode.ENGINE_UNREACHABLE) {
				become(false);
			}
		}
		else if (event instanceof SidecarEvent.DrainSign && !this.draining) {
			this.draining = true;
			DecisionLog.of("drain").with("in-flight", this.calls.inFlight()).write();
			this.entries.values().forEach((entry) -> tellState(entry.connection));
		}
		step(event);
	}

	private void become(boolean isHealthy) {
		if (isHealthy != this.healthy) {
			this.healthy = isHealthy;
			DecisionLog.of("upstream-health").with("healthy", isHealthy).write();
			this.entries.values().forEach((entry) -> tellState(entry.connection));
		}
	}

	private void tellState(PeerConnection connection) {
		if (!this.open && !this.draining) {
			return;
		}
		connection.send(ControlCodec.encode(new ControlMessages.UpstreamStateChanged(this.draining, this.healthy)));
	}

	void tick() {
		long now = this.time.nanos();
		if (this.calls.nextWakeNanos() <= now) {
			step(new SidecarEvent.Tick());
		}
		this.claims.tick();
		report(now);
	}

	private void report(long now) {
		for (Entry entry : this.entries.values()) {
			if (now - entry.workNanos < INTEREST_NANOS && now - entry.reportNanos >= REPORT_NANOS) {
				entry.reportNanos = now;
				entry.connection.send(ControlCodec.encode(this.load.report(List.of(), now)));
			}
		}
	}

	private void step(SidecarEvent event) {
		if (event instanceof SidecarEvent.EngineData data) {
			this.load.answering(data.attempt(), this.time.nanos());
		}
		this.calls.on(event, this.time.nanos(), this::perform);
	}

	private void perform(SidecarAction action) {
		if (action instanceof SidecarAction.Reply reply) {
			Optional.ofNullable(this.entries.get(reply.connection()))
				.ifPresent((entry) -> entry.connection.send(new WireMessage.CallEnvelope(reply.message())));
		}
		else if (action instanceof SidecarAction.RunOnEngine run) {
			this.engine.run(run.attempt(), run.spec(), run.resumeAfterTokens());
		}
		else if (action instanceof SidecarAction.CancelOnEngine cancel) {
			this.engine.cancel(cancel.attempt());
		}
		else if (action instanceof SidecarAction.Claim claim) {
			this.claims.claim(claim.request());
		}
		else if (action instanceof SidecarAction.Release release) {
			this.claims.release(release.request());
		}
		else if (action instanceof SidecarAction.Decided decided) {
			watch(decided.attempt(), decided.decision());
			log(decided.attempt(), decided.decision(), decided.code());
		}
	}

	private void watch(AttemptId attempt, SidecarAction.Decision decision) {
		switch (decision) {
			case QUEUED -> this.load.accepted(attempt, this.arriving.spec(), this.time.nanos());
			case ANSWERED, NOT_RUN, FAILED -> this.load.ended(attempt);
			default -> {
			}
		}
	}

	private void log(AttemptId attempt, SidecarAction.Decision decision, Optional<ErrorCode> code) {
		this.decisions
			.computeIfAbsent(decision, (key) -> this.metrics.counter("sidecar.decisions", "decision", key.name()))
			.increment();
		DecisionLog.of("admit")
			.with("attempt", attempt)
			.with("decision", decision)
			.with("code", code.map(ErrorCode::text).orElse("-"))
			.write();
	}

	/**
	 * Returns how many runs wait or are on the engine.
	 * @return the count
	 */
	int inFlight() {
		return this.calls.inFlight();
	}

	/**
	 * Tells whether the upstream leaves and all of its work is done.
	 * @return whether the process may end
	 */
	@Override
	public boolean isDrained() {
		return this.calls.isDrained();
	}

	private static final class Entry {

		private final PeerConnection connection;

		private long workNanos = Long.MIN_VALUE / 2;

		private long reportNanos = Long.MIN_VALUE / 2;

		private Entry(PeerConnection connection) {
			this.connection = connection;
		}

	}

}
