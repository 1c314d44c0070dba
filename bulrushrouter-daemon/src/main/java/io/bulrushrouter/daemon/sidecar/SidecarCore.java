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
 * The sidecar's state, accessed by a single duty: performs the actions that
 * {@link SidecarCalls} decides on.
 */
final class SidecarCore implements OrderHandler.Drainable {

	/** The interval between load reports to an entry that sends requests. */
	private static final long REPORT_INTERVAL_NANOS = TimeUnit.MILLISECONDS.toNanos(500);

	/** How long after its last request an entry receives load reports. */
	private static final long REPORT_WINDOW_NANOS = TimeUnit.SECONDS.toNanos(10);

	private final long incarnation;

	private final SidecarCalls calls;

	private final EngineClient engine;

	private final ClaimHandler claims;

	private final OrderHandler orders;

	private final TimeSource time;

	private final Metrics metrics;

	private final Map<Long, EntryPeer> entries = new HashMap<>();

	private final Map<SidecarAction.Decision, Counter> decisions = new HashMap<>();

	private final AttemptLoadTracker load;

	/** The call whose admission is being decided. */
	private CallMessage.Call arrivingCall;

	private boolean draining;

	/** Whether an entry has reported that the upstream is not leaving. */
	private boolean admissionOpened;

	private boolean healthy = true;

	SidecarCore(long incarnation, SidecarCalls calls, EngineClient engine, ClaimHandler claims, OrderHandler orders,
			AttemptLoadTracker load, TimeSource time, Metrics metrics) {
		this.incarnation = incarnation;
		this.calls = calls;
		this.engine = engine;
		this.claims = claims;
		this.orders = orders;
		this.load = load;
		this.time = time;
		this.metrics = metrics;
	}

	void handle(SidecarInput input) {
		if (input instanceof SidecarInput.MessageReceived received) {
			handleMessage(received);
		}
		else if (input instanceof SidecarInput.EventRaised raised) {
			handleEvent(raised.event());
		}
		else if (input instanceof SidecarInput.PeerConnected opened) {
			if (!isSidecar(opened.connection())) {
				this.entries.put(opened.connection().id(), new EntryPeer(opened.connection()));
				sendState(opened.connection());
			}
		}
		else if (input instanceof SidecarInput.PeerDisconnected closed) {
			this.entries.remove(closed.connection().id());
			if (isSidecar(closed.connection())) {
				this.claims.sidecarDisconnected(UpstreamId.of(closed.connection().peer().name()));
			}
			applyToCalls(new SidecarEvent.EntryConnectionLost(closed.connection().id()));
		}
		else if (input instanceof SidecarInput.SidecarsListed listed) {
			this.claims.updateLiveSidecars(listed.sidecars());
		}
		else if (input instanceof SidecarInput.TaskSubmitted submitted) {
			submitted.task().run();
		}
		else if (input instanceof SidecarInput.HealthProbed probed) {
			setHealthy(probed.healthy());
		}
		else if (input instanceof SidecarInput.EngineLoadReported reported) {
			this.load.recordKvUse(reported.kvUse());
		}
	}

	private static boolean isSidecar(PeerConnection connection) {
		return connection.peer().role().equals(SidecarNode.ROLE);
	}

	private void handleMessage(SidecarInput.MessageReceived received) {
		long connection = received.connection().id();
		if (received.message() instanceof WireMessage.Control control) {
			handleControl(received.connection(), control);
		}
		if (!(received.message() instanceof WireMessage.CallEnvelope envelope)) {
			return;
		}
		if (envelope.message() instanceof CallMessage.Call call) {
			Optional.ofNullable(this.entries.get(connection))
				.ifPresent((entry) -> entry.lastCallNanos = this.time.nanos());
			this.arrivingCall = call;
			applyToCalls(new SidecarEvent.CallReceived(connection, this.incarnation, call));
		}
		else if (envelope.message() instanceof CallMessage.Cancel cancel) {
			applyToCalls(new SidecarEvent.CancelReceived(connection, cancel));
		}
	}

	private void handleControl(PeerConnection connection, WireMessage.Control control) {
		if (control.topic().equals(ControlMessages.ObserveUpstream.class.getSimpleName())) {
			var question = ControlCodec.decode(control, ControlMessages.ObserveUpstream.class);
			connection.send(ControlCodec.encode(this.orders.observe(question, this.calls.inFlight())));
		}
		else if (control.topic().equals(ControlMessages.OrderUpstream.class.getSimpleName())) {
			var order = ControlCodec.decode(control, ControlMessages.OrderUpstream.class);
			this.orders.handle(order, this, (answer) -> connection.send(ControlCodec.encode(answer)));
		}
		else if (control.topic().equals(ControlMessages.Probe.class.getSimpleName())) {
			var probe = ControlCodec.decode(control, ControlMessages.Probe.class);
			LoadReport report = this.load.report(List.of(probe.prefixDigest()), this.time.nanos());
			connection.send(ControlCodec.encode(new ControlMessages.ProbeAnswer(probe.question(), report)));
		}
		else if (control.topic().equals(ControlMessages.UpstreamLastKnown.class.getSimpleName())) {
			applyLastKnown(ControlCodec.decode(control, ControlMessages.UpstreamLastKnown.class));
		}
		else {
			ClaimMessageCodec.decode(control)
				.ifPresent((message) -> this.claims.handleMessage(UpstreamId.of(connection.peer().name()), message));
		}
	}

	private void applyLastKnown(ControlMessages.UpstreamLastKnown lastKnown) {
		if (lastKnown.leaving()) {
			drain();
		}
		else if (!this.admissionOpened) {
			this.admissionOpened = true;
			applyToCalls(new SidecarEvent.AdmissionOpened());
			this.entries.values().forEach((entry) -> sendState(entry.connection));
		}
	}

	@Override
	public void drain() {
		handleEvent(new SidecarEvent.DrainRequested());
	}

	private void handleEvent(SidecarEvent event) {
		if (event instanceof SidecarEvent.EngineEnd end) {
			this.engine.forget(end.attempt());
			this.load.recordEnd(end.attempt());
		}
		else if (event instanceof SidecarEvent.EngineFailed failed) {
			this.engine.forget(failed.attempt());
			this.load.recordEnd(failed.attempt());
			if (failed.code() == ErrorCode.ENGINE_UNREACHABLE) {
				setHealthy(false);
			}
		}
		else if (event instanceof SidecarEvent.DrainRequested && !this.draining) {
			this.draining = true;
			DecisionLog.of("drain").with("in-flight", this.calls.inFlight()).write();
			this.entries.values().forEach((entry) -> sendState(entry.connection));
		}
		applyToCalls(event);
	}

	private void setHealthy(boolean isHealthy) {
		if (isHealthy != this.healthy) {
			this.healthy = isHealthy;
			DecisionLog.of("upstream-health").with("healthy", isHealthy).write();
			this.entries.values().forEach((entry) -> sendState(entry.connection));
		}
	}

	private void sendState(PeerConnection connection) {
		if (!this.admissionOpened && !this.draining) {
			return;
		}
		connection.send(ControlCodec.encode(new ControlMessages.UpstreamStateChanged(this.draining, this.healthy)));
	}

	void tick() {
		long now = this.time.nanos();
		if (this.calls.nextWakeNanos() <= now) {
			applyToCalls(new SidecarEvent.Tick());
		}
		this.claims.tick();
		report(now);
	}

	private void report(long now) {
		for (EntryPeer entry : this.entries.values()) {
			if (now - entry.lastCallNanos < REPORT_WINDOW_NANOS
					&& now - entry.lastReportNanos >= REPORT_INTERVAL_NANOS) {
				entry.lastReportNanos = now;
				entry.connection.send(ControlCodec.encode(this.load.report(List.of(), now)));
			}
		}
	}

	private void applyToCalls(SidecarEvent event) {
		if (event instanceof SidecarEvent.EngineData data) {
			this.load.recordData(data.attempt(), this.time.nanos());
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
		else if (action instanceof SidecarAction.LogDecision logDecision) {
			updateLoad(logDecision.attempt(), logDecision.decision());
			log(logDecision.attempt(), logDecision.decision(), logDecision.code());
		}
	}

	private void updateLoad(AttemptId attempt, SidecarAction.Decision decision) {
		switch (decision) {
			case QUEUED -> this.load.recordAccepted(attempt, this.arrivingCall.spec(), this.time.nanos());
			case ANSWERED, NOT_RUN, FAILED -> this.load.recordEnd(attempt);
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
	 * Returns the number of runs that are queued or on the engine.
	 * @return the number of runs
	 */
	int inFlight() {
		return this.calls.inFlight();
	}

	/**
	 * Returns whether the sidecar is draining and all requests have completed.
	 * @return whether the process may end
	 */
	@Override
	public boolean isDrained() {
		return this.calls.isDrained();
	}

	private static final class EntryPeer {

		private final PeerConnection connection;

		private long lastCallNanos = Long.MIN_VALUE / 2;

		private long lastReportNanos = Long.MIN_VALUE / 2;

		private EntryPeer(PeerConnection connection) {
			this.connection = connection;
		}

	}

}
