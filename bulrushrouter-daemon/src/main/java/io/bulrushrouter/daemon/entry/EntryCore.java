package io.bulrushrouter.daemon.entry;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;

import io.micrometer.core.instrument.Timer;

import io.bulrushrouter.daemon.node.ControlMessages;
import io.bulrushrouter.daemon.node.DecisionLog;
import io.bulrushrouter.daemon.node.ErrorReply;
import io.bulrushrouter.daemon.node.Metrics;
import io.bulrushrouter.http.HttpReply;
import io.bulrushrouter.kernel.ErrorCode;
import io.bulrushrouter.kernel.RequestId;
import io.bulrushrouter.kernel.TimeSource;
import io.bulrushrouter.kernel.UpstreamId;
import io.bulrushrouter.kernel.Verdict;
import io.bulrushrouter.kernel.store.LiveInstance;
import io.bulrushrouter.request.CallMessage;
import io.bulrushrouter.request.EntryAction;
import io.bulrushrouter.request.EntryCall;
import io.bulrushrouter.request.EntryEvent;
import io.bulrushrouter.request.EntryPolicy;
import io.bulrushrouter.request.RetryBudget;
import io.bulrushrouter.request.RetryDecision;
import io.bulrushrouter.routing.LoadReport;
import io.bulrushrouter.routing.Outcome;
import io.bulrushrouter.wire.ControlCodec;
import io.bulrushrouter.wire.PeerConnection;
import io.bulrushrouter.wire.WireMessage;

/**
 * The entry's state, accessed by a single duty: performs the actions that each
 * {@link EntryCall} decides on.
 */
final class EntryCore {

	private static final String REQUEST_HEADER = "X-Request-Id";

	private final long incarnation;

	private final EntryPolicy policy;

	private final UpstreamRouter router;

	private final UpstreamConnections connections;

	private final TimeSource time;

	private final Metrics metrics;

	private final Timer firstTokenTimer;

	private final Consumer<EntryInput> inbox;

	private final RetryBudget retryBudget;

	private final Map<Long, PendingCall> calls = new HashMap<>();

	private final Map<UpstreamId, Boolean> listedLeaving = new HashMap<>();

	private final ProbeRounds probes = new ProbeRounds();

	private final LeavingUpstreams leavingUpstreams = new LeavingUpstreams();

	private long lastRequestNumber;

	private volatile long configurationVersion;

	private volatile int connectedUpstreams;

	EntryCore(long incarnation, EntryPolicy policy, RetryBudget retryBudget, UpstreamRouter router,
			UpstreamConnections connections, TimeSource time, Metrics metrics, Consumer<EntryInput> inbox) {
		this.inbox = inbox;
		this.incarnation = incarnation;
		this.policy = policy;
		this.retryBudget = retryBudget;
		this.router = router;
		this.connections = connections;
		this.time = time;
		this.metrics = metrics;
		this.firstTokenTimer = metrics.timer("entry.first.token");
	}

	void handle(EntryInput input) {
		if (input instanceof EntryInput.MessageReceived received) {
			handleMessage(received);
		}
		else if (input instanceof EntryInput.CallReceived call) {
			startCall(call);
		}
		else if (input instanceof EntryInput.CallerDisconnected disconnected) {
			Optional.ofNullable(this.calls.get(disconnected.number()))
				.ifPresent((pending) -> handleEvent(pending, new EntryEvent.CallerDisconnected()));
		}
		else if (input instanceof EntryInput.PeerConnected opened) {
			peerConnected(opened.connection());
			this.connectedUpstreams = this.connections.connectedUpstreams().size();
		}
		else if (input instanceof EntryInput.PeerDisconnected closed) {
			peerDisconnected(closed.connection());
		}
		else if (input instanceof EntryInput.ConfigurationAdopted adopted) {
			adopt(adopted);
		}
		else if (input instanceof EntryInput.PlacementsUpdated updated) {
			this.router.updatePlacements(updated.placements());
		}
		else if (input instanceof EntryInput.InstancesListed listed) {
			listed.instances().forEach(this::updateListed);
		}
	}

	private void peerConnected(PeerConnection connection) {
		UpstreamId upstream = this.connections.connectionOpened(connection);
		boolean lastKnown = this.leavingUpstreams.isLeaving(upstream, this.time.nanos());
		connection.send(ControlCodec.encode(new ControlMessages.UpstreamLastKnown(lastKnown)));
		this.router.setLeaving(upstream, lastKnown);
		this.router.setReachable(upstream, true);
	}

	private void adopt(EntryInput.ConfigurationAdopted adopted) {
		if (adopted.active().version() <= this.configurationVersion) {
			return;
		}
		this.configurationVersion = adopted.active().version();
		this.connections.configure(adopted.active().configuration().upstreams());
		this.router.configure(adopted.active().configuration(), this.connections.connectedUpstreams());
		DecisionLog.of("configuration").with("version", this.configurationVersion).write();
	}

	private void updateListed(LiveInstance instance) {
		UpstreamId upstream = UpstreamId.of(instance.instance().value());
		Boolean before = this.listedLeaving.put(upstream, instance.leaving());
		if (instance.leaving() && !Boolean.TRUE.equals(before)) {
			this.leavingUpstreams.update(upstream, true);
			this.router.setLeaving(upstream, true);
			this.connections.connection(upstream)
				.ifPresent((connection) -> connection
					.send(ControlCodec.encode(new ControlMessages.UpstreamLastKnown(true))));
		}
	}

	private void startCall(EntryInput.CallReceived received) {
		if (!this.router.serves(received.spec().model())) {
			received.exchange().respond(ErrorReply.ofNotRun(ErrorCode.UNKNOWN_MODEL, "no such model or service"));
			return;
		}
		this.lastRequestNumber++;
		RequestId id = new RequestId(this.incarnation, this.lastRequestNumber);
		EntryCall call = EntryCall.of(id, received.spec(), received.deadlineNanos(), this.policy, this.retryBudget,
				(excluded, now) -> this.router.pick(id, received.spec(), excluded, now));
		PendingCall pending = new PendingCall(received.exchange(), received.spec(), call, this.time.nanos());
		this.calls.put(id.number(), pending);
		received.exchange().onClosed(() -> this.inbox.accept(new EntryInput.CallerDisconnected(id.number())));
		sendProbes(pending);
	}

	private void sendProbes(PendingCall pending) {
		long request = pending.call.id().number();
		this.probes.begin(request, this.time.nanos());
		for (UpstreamId upstream : this.router.probeTargets(pending.spec, this.time.nanos())) {
			this.connections.connection(upstream)
				.ifPresent((connection) -> connection.send(ControlCodec
					.encode(new ControlMessages.Probe(this.probes.addProbe(request), pending.spec.prefixDigest()))));
		}
		if (this.probes.isComplete(request)) {
			start(this.probes.finish(request));
		}
	}

	private void start(long request) {
		Optional.ofNullable(this.calls.get(request))
			.ifPresent((pending) -> handleEvent(pending, new EntryEvent.Start()));
	}

	private void handleMessage(EntryInput.MessageReceived received) {
		UpstreamId upstream = UpstreamId.of(received.connection().peer().name());
		if (received.message() instanceof WireMessage.CallEnvelope envelope) {
			handleCallMessage(upstream, received.connection(), envelope.message());
		}
		else if (received.message() instanceof WireMessage.Control control) {
			handleControl(upstream, control);
		}
	}

	private void handleControl(UpstreamId upstream, WireMessage.Control control) {
		if (control.topic().equals(LoadReport.class.getSimpleName())) {
			this.router.recordReport(upstream, ControlCodec.decode(control, LoadReport.class), this.time.nanos());
		}
		else if (control.topic().equals(ControlMessages.ProbeAnswer.class.getSimpleName())) {
			var answer = ControlCodec.decode(control, ControlMessages.ProbeAnswer.class);
			this.router.recordReport(upstream, answer.report(), this.time.nanos());
			start(this.probes.recordAnswer(answer.question()));
		}
		else if (control.topic().equals(ControlMessages.UpstreamStateChanged.class.getSimpleName())) {
			var state = ControlCodec.decode(control, ControlMessages.UpstreamStateChanged.class);
			this.leavingUpstreams.update(upstream, state.leaving());
			this.router.setLeaving(upstream, state.leaving());
			this.router.setHealthy(upstream, state.healthy());
		}
	}

	private void handleCallMessage(UpstreamId upstream, PeerConnection connection, CallMessage message) {
		PendingCall pending = this.calls.get(message.attempt().request().number());
		if (pending == null || message.attempt().request().incarnation() != this.incarnation) {
			this.metrics.counter("entry.messages.dropped").increment();
			return;
		}
		updateAttempt(pending, message);
		handleEvent(pending, new EntryEvent.Received(upstream, connection.peer().incarnation(), message));
	}

	private void updateAttempt(PendingCall pending, CallMessage message) {
		PendingCall.Attempt attempt = pending.attempts.get(message.attempt().attempt());
		if (attempt == null) {
			return;
		}
		if (message instanceof CallMessage.Data && !attempt.sawFirstToken) {
			attempt.sawFirstToken = true;
			this.router.recordFirstToken(attempt.upstream, pending.spec, this.time.nanos());
		}
		else if (message instanceof CallMessage.End) {
			endAttempt(pending, message.attempt().attempt(), Outcome.ANSWERED);
		}
		else if (message instanceof CallMessage.NotRun notRun) {
			boolean failed = notRun.code() == ErrorCode.ENGINE_UNREACHABLE;
			endAttempt(pending, message.attempt().attempt(), failed ? Outcome.FAILED : Outcome.DECLINED);
		}
		else if (message instanceof CallMessage.Failed) {
			endAttempt(pending, message.attempt().attempt(), Outcome.FAILED);
		}
	}

	private void endAttempt(PendingCall pending, int number, Outcome outcome) {
		PendingCall.Attempt attempt = pending.attempts.remove(number);
		if (attempt != null) {
			this.router.recordFinished(attempt.upstream, pending.spec, attempt.sawFirstToken, outcome,
					this.time.nanos());
		}
	}

	private void peerDisconnected(PeerConnection connection) {
		UpstreamId upstream = UpstreamId.of(connection.peer().name());
		this.connections.connectionClosed(connection).ifPresent((lostUpstream) -> {
			this.router.setReachable(lostUpstream, false);
			this.leavingUpstreams.disconnected(lostUpstream, this.time.nanos());
		});
		this.connectedUpstreams = this.connections.connectedUpstreams().size();
		List<PendingCall> affected = this.calls.values()
			.stream()
			.filter((pending) -> pending.uses(connection))
			.toList();
		for (PendingCall pending : affected) {
			List<Integer> lostAttempts = pending.attempts.entrySet()
				.stream()
				.filter((entry) -> entry.getValue().connection == connection)
				.map(Map.Entry::getKey)
				.toList();
			lostAttempts.forEach((number) -> endAttempt(pending, number, Outcome.FAILED));
			handleEvent(pending, new EntryEvent.ConnectionLost(upstream));
		}
	}

	void tick() {
		long now = this.time.nanos();
		this.probes.removeExpired(now).forEach(this::start);
		List<PendingCall> due = this.calls.values()
			.stream()
			.filter((pending) -> pending.call.nextWakeNanos() <= now)
			.toList();
		due.forEach((pending) -> handleEvent(pending, new EntryEvent.Tick()));
	}

	private void handleEvent(PendingCall pending, EntryEvent event) {
		pending.call.on(event, this.time.nanos(), (action) -> perform(pending, action));
		pending.call.verdict().ifPresent((verdict) -> finish(pending, verdict));
	}

	private void finish(PendingCall pending, Verdict verdict) {
		if (this.calls.remove(pending.call.id().number()) == null) {
			return;
		}
		List.copyOf(pending.attempts.keySet()).forEach((number) -> endAttempt(pending, number, Outcome.CANCELLED));
		this.metrics
			.counter("entry.requests", "verdict", verdict.text(), "code",
					verdict.failure().map(ErrorCode::text).orElse("-"))
			.increment();
		DecisionLog.of("done")
			.with("request", pending.call.id())
			.with("verdict", verdict.text())
			.with("code", verdict.failure().map(ErrorCode::text).orElse("-"))
			.with("attempts", pending.call.attempts())
			.with("millis", TimeUnit.NANOSECONDS.toMillis(this.time.nanos() - pending.startedNanos))
			.write();
	}

	private void perform(PendingCall pending, EntryAction action) {
		if (action instanceof EntryAction.RelayData relay) {
			relay(pending, relay.bytes());
		}
		else if (action instanceof EntryAction.Send send) {
			send(pending, send);
		}
		else if (action instanceof EntryAction.SendCancel cancel) {
			this.connections.connection(cancel.upstream())
				.ifPresent((connection) -> connection.send(new WireMessage.CallEnvelope(cancel.cancel())));
		}
		else if (action instanceof EntryAction.RelayHead head) {
			pending.exchange.start(HttpReply.ofHead(head.status(), head.contentType())
				.withHeader(REQUEST_HEADER, pending.call.id().toString()));
		}
		else if (action instanceof EntryAction.Complete) {
			pending.exchange.end();
		}
		else if (action instanceof EntryAction.Reject reject) {
			pending.exchange
				.respond(ErrorReply.of(reject.verdict(), errorMessage(reject.verdict()), reject.retryAfterMillis())
					.withHeader(REQUEST_HEADER, pending.call.id().toString()));
		}
		else if (action instanceof EntryAction.AbortStream broken) {
			breakStream(pending, broken.verdict());
		}
		else if (action instanceof EntryAction.LogDecision logDecision) {
			log(pending, logDecision.decision());
		}
	}

	private void relay(PendingCall pending, byte[] bytes) {
		if (!pending.sawFirstToken) {
			pending.sawFirstToken = true;
			this.firstTokenTimer.record(this.time.nanos() - pending.startedNanos, TimeUnit.NANOSECONDS);
		}
		if (!pending.exchange.write(bytes)) {
			pending.exchange.abort();
			handleEvent(pending, new EntryEvent.CallerDisconnected());
		}
	}

	private void send(PendingCall pending, EntryAction.Send send) {
		Optional<PeerConnection> connection = this.connections.connection(send.upstream());
		int number = send.call().attempt().attempt();
		if (connection.isPresent() && connection.get().send(new WireMessage.CallEnvelope(send.call()))) {
			pending.attempts.put(number, new PendingCall.Attempt(send.upstream(), connection.get()));
			this.router.recordSent(send.upstream(), pending.spec, this.time.nanos());
			pending.call.on(new EntryEvent.Sent(number, connection.get().peer().incarnation()), this.time.nanos(),
					(action) -> perform(pending, action));
		}
		else {
			handleEvent(pending, new EntryEvent.SendFailed(number));
		}
	}

	private static void breakStream(PendingCall pending, Verdict verdict) {
		if (pending.spec.stream()) {
			pending.exchange.write(ErrorReply.streamErrorEvent(verdict, errorMessage(verdict)));
		}
		pending.exchange.abort();
	}

	private static String errorMessage(Verdict verdict) {
		if (verdict.mayHaveRun()) {
			return "the request may have run; its response is incomplete";
		}
		return "the request was not run";
	}

	private static void log(PendingCall pending, RetryDecision decision) {
		DecisionLog.of("retry")
			.with("attempt", decision.attempt())
			.with("upstream", decision.upstream())
			.with("kind", decision.kind())
			.with("may-have-run", decision.mayHaveRun())
			.with("code", decision.code().map(ErrorCode::text).orElse("-"))
			.with("next", decision.next().map(UpstreamId::value).orElse("-"))
			.with("idempotent", pending.spec.idempotent())
			.write();
	}

	/**
	 * Returns the number of requests without a final response.
	 * @return the number of requests
	 */
	int inFlight() {
		return this.calls.size();
	}

	/**
	 * Returns the number of connected sidecars.
	 * @return the number of sidecars
	 */
	int connectedUpstreams() {
		return this.connectedUpstreams;
	}

	/**
	 * Returns the version of the active configuration.
	 * @return the version; 0 if there is none
	 */
	long configurationVersion() {
		return this.configurationVersion;
	}

}
