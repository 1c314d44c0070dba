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
 * The entry's state, owned by one duty: carries out what each {@link EntryCall} decides.
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

	EntryCore(long incarnation, EntryPolicy policy, RetryBudget budget, UpstreamRouter routes,
			UpstreamConnections links, TimeSource time, Metrics metrics, Consumer<EntryInput> inbox) {
		this.inbox = inbox;
		this.incarnation = incarnation;
		this.policy = policy;
		this.retryBudget = budget;
		this.router = routes;
		this.connections = links;
		this.time = time;
		this.metrics = metrics;
		this.firstTokenTimer = metrics.timer("entry.first.token");
	}

	void handle(EntryInput input) {
		if (input instanceof EntryInput.MessageReceived said) {
			handleMessage(said);
		}
		else if (input instanceof EntryInput.CallReceived arrived) {
			startCall(arrived);
		}
		else if (input instanceof EntryInput.CallerDisconnected gone) {
			Optional.ofNullable(this.calls.get(gone.number()))
				.ifPresent((open) -> handleEvent(open, new EntryEvent.CallerGone()));
		}
		else if (input instanceof EntryInput.PeerConnected up) {
			peerConnected(up.connection());
			this.connectedUpstreams = this.connections.connectedUpstreams().size();
		}
		else if (input instanceof EntryInput.PeerDisconnected down) {
			peerDisconnected(down.connection());
		}
		else if (input instanceof EntryInput.ConfigurationAdopted adopted) {
			adopt(adopted);
		}
		else if (input instanceof EntryInput.PlacementsUpdated placed) {
			this.router.updatePlacements(placed.placements());
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

	private void startCall(EntryInput.CallReceived arrived) {
		if (!this.router.serves(arrived.spec().model())) {
			arrived.exchange().respond(ErrorReply.ofNotRun(ErrorCode.UNKNOWN_MODEL, "no such model or service"));
			return;
		}
		this.lastRequestNumber++;
		RequestId id = new RequestId(this.incarnation, this.lastRequestNumber);
		EntryCall call = EntryCall.of(id, arrived.spec(), arrived.deadlineNanos(), this.policy, this.retryBudget,
				(excluded, now) -> this.router.pick(id, arrived.spec(), excluded, now));
		PendingCall open = new PendingCall(arrived.exchange(), arrived.spec(), call, this.time.nanos());
		this.calls.put(id.number(), open);
		arrived.exchange().onClosed(() -> this.inbox.accept(new EntryInput.CallerDisconnected(id.number())));
		sendProbes(open);
	}

	private void sendProbes(PendingCall open) {
		long request = open.call.id().number();
		this.probes.begin(request, this.time.nanos());
		for (UpstreamId upstream : this.router.probeTargets(open.spec, this.time.nanos())) {
			this.connections.connection(upstream)
				.ifPresent((connection) -> connection.send(ControlCodec
					.encode(new ControlMessages.Probe(this.probes.addProbe(request), open.spec.prefixDigest()))));
		}
		if (this.probes.isComplete(request)) {
			start(this.probes.finish(request));
		}
	}

	private void start(long request) {
		Optional.ofNullable(this.calls.get(request)).ifPresent((open) -> handleEvent(open, new EntryEvent.Start()));
	}

	private void handleMessage(EntryInput.MessageReceived said) {
		UpstreamId upstream = UpstreamId.of(said.connection().peer().name());
		if (said.message() instanceof WireMessage.OfCall ofCall) {
			handleCallMessage(upstream, said.connection(), ofCall.message());
		}
		else if (said.message() instanceof WireMessage.Control control) {
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
		PendingCall open = this.calls.get(message.attempt().request().number());
		if (open == null || message.attempt().request().incarnation() != this.incarnation) {
			this.metrics.counter("entry.messages.dropped").increment();
			return;
		}
		updateAttempt(open, message);
		handleEvent(open, new EntryEvent.Received(upstream, connection.peer().incarnation(), message));
	}

	private void updateAttempt(PendingCall open, CallMessage message) {
		PendingCall.Attempt attempt = open.attempts.get(message.attempt().attempt());
		if (attempt == null) {
			return;
		}
		if (message instanceof CallMessage.Data && !attempt.sawFirstToken) {
			attempt.sawFirstToken = true;
			this.router.recordFirstToken(attempt.upstream, open.spec, this.time.nanos());
		}
		else if (message instanceof CallMessage.End) {
			endAttempt(open, message.attempt().attempt(), Outcome.ANSWERED);
		}
		else if (message instanceof CallMessage.NotRun notRun) {
			boolean failed = notRun.code() == ErrorCode.ENGINE_UNREACHABLE;
			endAttempt(open, message.attempt().attempt(), failed ? Outcome.FAILED : Outcome.DECLINED);
		}
		else if (message instanceof CallMessage.Failed) {
			endAttempt(open, message.attempt().attempt(), Outcome.FAILED);
		}
	}

	private void endAttempt(PendingCall open, int number, Outcome outcome) {
		PendingCall.Attempt attempt = open.attempts.remove(number);
		if (attempt != null) {
			this.router.recordFinished(attempt.upstream, open.spec, attempt.sawFirstToken, outcome, this.time.nanos());
		}
	}

	private void peerDisconnected(PeerConnection connection) {
		UpstreamId upstream = UpstreamId.of(connection.peer().name());
		this.connections.connectionClosed(connection).ifPresent((gone) -> {
			this.router.setReachable(gone, false);
			this.leavingUpstreams.disconnected(gone, this.time.nanos());
		});
		this.connectedUpstreams = this.connections.connectedUpstreams().size();
		List<PendingCall> affected = this.calls.values().stream().filter((open) -> open.uses(connection)).toList();
		for (PendingCall open : affected) {
			List<Integer> lost = open.attempts.entrySet()
				.stream()
				.filter((entry) -> entry.getValue().connection == connection)
				.map(Map.Entry::getKey)
				.toList();
			lost.forEach((number) -> endAttempt(open, number, Outcome.FAILED));
			handleEvent(open, new EntryEvent.ConnectionLost(upstream));
		}
	}

	void tick() {
		long now = this.time.nanos();
		this.probes.removeExpired(now).forEach(this::start);
		List<PendingCall> due = this.calls.values()
			.stream()
			.filter((open) -> open.call.nextWakeNanos() <= now)
			.toList();
		due.forEach((open) -> handleEvent(open, new EntryEvent.Tick()));
	}

	private void handleEvent(PendingCall open, EntryEvent event) {
		open.call.on(event, this.time.nanos(), (action) -> perform(open, action));
		open.call.verdict().ifPresent((verdict) -> finish(open, verdict));
	}

	private void finish(PendingCall open, Verdict verdict) {
		if (this.calls.remove(open.call.id().number()) == null) {
			return;
		}
		List.copyOf(open.attempts.keySet()).forEach((number) -> endAttempt(open, number, Outcome.CANCELLED));
		this.metrics
			.counter("entry.requests", "verdict", verdict.text(), "code",
					verdict.failure().map(ErrorCode::text).orElse("-"))
			.increment();
		DecisionLog.of("done")
			.with("request", open.call.id())
			.with("verdict", verdict.text())
			.with("code", verdict.failure().map(ErrorCode::text).orElse("-"))
			.with("attempts", open.call.attempts())
			.with("millis", TimeUnit.NANOSECONDS.toMillis(this.time.nanos() - open.startedNanos))
			.write();
	}

	private void perform(PendingCall open, EntryAction action) {
		if (action instanceof EntryAction.Relay relay) {
			relay(open, relay.bytes());
		}
		else if (action instanceof EntryAction.Send send) {
			send(open, send);
		}
		else if (action instanceof EntryAction.SendCancel cancel) {
			this.connections.connection(cancel.upstream())
				.ifPresent((connection) -> connection.send(new WireMessage.OfCall(cancel.cancel())));
		}
		else if (action instanceof EntryAction.RelayHead head) {
			open.exchange.start(HttpReply.ofHead(head.status(), head.contentType())
				.withHeader(REQUEST_HEADER, open.call.id().toString()));
		}
		else if (action instanceof EntryAction.Complete) {
			open.exchange.end();
		}
		else if (action instanceof EntryAction.Reject reject) {
			open.exchange
				.respond(ErrorReply.of(reject.verdict(), errorMessage(reject.verdict()), reject.retryAfterMillis())
					.withHeader(REQUEST_HEADER, open.call.id().toString()));
		}
		else if (action instanceof EntryAction.BreakStream broken) {
			breakStream(open, broken.verdict());
		}
		else if (action instanceof EntryAction.Decided decided) {
			log(open, decided.decision());
		}
	}

	private void relay(PendingCall open, byte[] bytes) {
		if (!open.sawFirstToken) {
			open.sawFirstToken = true;
			this.firstTokenTimer.record(this.time.nanos() - open.startedNanos, TimeUnit.NANOSECONDS);
		}
		if (!open.exchange.write(bytes)) {
			open.exchange.abort();
			handleEvent(open, new EntryEvent.CallerGone());
		}
	}

	private void send(PendingCall open, EntryAction.Send send) {
		Optional<PeerConnection> connection = this.connections.connection(send.upstream());
		int number = send.call().attempt().attempt();
		if (connection.isPresent() && connection.get().send(new WireMessage.OfCall(send.call()))) {
			open.attempts.put(number, new PendingCall.Attempt(send.upstream(), connection.get()));
			this.router.recordSent(send.upstream(), open.spec, this.time.nanos());
			open.call.on(new EntryEvent.Sent(number, connection.get().peer().incarnation()), this.time.nanos(),
					(action) -> perform(open, action));
		}
		else {
			handleEvent(open, new EntryEvent.SendFailed(number));
		}
	}

	private static void breakStream(PendingCall open, Verdict verdict) {
		if (open.spec.stream()) {
			open.exchange.write(ErrorReply.event(verdict, errorMessage(verdict)));
		}
		open.exchange.abort();
	}

	private static String errorMessage(Verdict verdict) {
		if (verdict.mayHaveRun()) {
			return "the request may have run and its answer is not whole";
		}
		return "the request was not run";
	}

	private static void log(PendingCall open, RetryDecision decision) {
		DecisionLog.of("retry")
			.with("attempt", decision.attempt())
			.with("upstream", decision.upstream())
			.with("kind", decision.kind())
			.with("may-have-run", decision.mayHaveRun())
			.with("code", decision.code().map(ErrorCode::text).orElse("-"))
			.with("next", decision.next().map(UpstreamId::value).orElse("-"))
			.with("idempotent", open.spec.idempotent())
			.write();
	}

	/**
	 * Returns how many requests have no final answer yet.
	 * @return the count
	 */
	int inFlight() {
		return this.calls.size();
	}

	/**
	 * Returns how many sidecars are connected.
	 * @return the count
	 */
	int connectedUpstreams() {
		return this.connectedUpstreams;
	}

	/**
	 * Returns the configuration's version in force.
	 * @return the version; 0 if there is none
	 */
	long configurationVersion() {
		return this.configurationVersion;
	}

}
