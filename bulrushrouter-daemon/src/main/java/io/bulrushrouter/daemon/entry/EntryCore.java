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

	private final RouteBook routes;

	private final UpstreamLinks links;

	private final TimeSource time;

	private final Metrics metrics;

	private final Timer firstTokenTimer;

	private final Consumer<EntryInput> inbox;

	private final RetryBudget budget;

	private final Map<Long, OpenCall> calls = new HashMap<>();

	private final Map<UpstreamId, Boolean> listedLeaving = new HashMap<>();

	private final ProbeRounds probes = new ProbeRounds();

	private final LeavingMemory leaving = new LeavingMemory();

	private long lastNumber;

	private volatile long version;

	private volatile int connected;

	EntryCore(long incarnation, EntryPolicy policy, RetryBudget budget, RouteBook routes, UpstreamLinks links,
			TimeSource time, Metrics metrics, Consumer<EntryInput> inbox) {
		this.inbox = inbox;
		this.incarnation = incarnation;
		this.policy = policy;
		this.budget = budget;
		this.routes = routes;
		this.links = links;
		this.time = time;
		this.metrics = metrics;
		this.firstTokenTimer = metrics.timer("entry.first.token");
	}

	void take(EntryInput input) {
		if (input instanceof EntryInput.PeerSaid said) {
			hear(said);
		}
		else if (input instanceof EntryInput.CallArrived arrived) {
			arrive(arrived);
		}
		else if (input instanceof EntryInput.CallerGone gone) {
			Optional.ofNullable(this.calls.get(gone.number()))
				.ifPresent((open) -> step(open, new EntryEvent.CallerGone()));
		}
		else if (input instanceof EntryInput.PeerUp up) {
			greet(up.connection());
			this.connected = this.links.connected().size();
		}
		else if (input instanceof EntryInput.PeerDown down) {
			lose(down.connection());
		}
		else if (input instanceof EntryInput.Adopted adopted) {
			adopt(adopted);
		}
		else if (input instanceof EntryInput.Placed placed) {
			this.routes.placed(placed.placements());
		}
		else if (input instanceof EntryInput.Instances listed) {
			listed.instances().forEach(this::listed);
		}
	}

	private void greet(PeerConnection connection) {
		UpstreamId upstream = this.links.up(connection);
		boolean lastKnown = this.leaving.lastKnown(upstream, this.time.nanos());
		connection.send(ControlCodec.encode(new ControlMessages.UpstreamLastKnown(lastKnown)));
		this.routes.leaving(upstream, lastKnown);
		this.routes.reachable(upstream, true);
	}

	private void adopt(EntryInput.Adopted adopted) {
		if (adopted.inForce().version() <= this.version) {
			return;
		}
		this.version = adopted.inForce().version();
		this.links.configured(adopted.inForce().configuration().upstreams());
		this.routes.configured(adopted.inForce().configuration(), this.links.connected());
		DecisionLog.of("configuration").with("version", this.version).write();
	}

	private void listed(LiveInstance instance) {
		UpstreamId upstream = UpstreamId.of(instance.instance().value());
		Boolean before = this.listedLeaving.put(upstream, instance.leaving());
		if (instance.leaving() && !Boolean.TRUE.equals(before)) {
			this.leaving.heard(upstream, true);
			this.routes.leaving(upstream, true);
			this.links.connection(upstream)
				.ifPresent((connection) -> connection
					.send(ControlCodec.encode(new ControlMessages.UpstreamLastKnown(true))));
		}
	}

	private void arrive(EntryInput.CallArrived arrived) {
		if (!this.routes.serves(arrived.spec().model())) {
			arrived.exchange().respond(ErrorReply.ofNotRun(ErrorCode.UNKNOWN_MODEL, "no such model or service"));
			return;
		}
		this.lastNumber++;
		RequestId id = new RequestId(this.incarnation, this.lastNumber);
		EntryCall call = EntryCall.of(id, arrived.spec(), arrived.deadlineNanos(), this.policy, this.budget,
				(excluded, now) -> this.routes.pick(id, arrived.spec(), excluded, now));
		OpenCall open = new OpenCall(arrived.exchange(), arrived.spec(), call, this.time.nanos());
		this.calls.put(id.number(), open);
		arrived.exchange().onClosed(() -> this.inbox.accept(new EntryInput.CallerGone(id.number())));
		probe(open);
	}

	private void probe(OpenCall open) {
		long request = open.call.id().number();
		this.probes.begin(request, this.time.nanos());
		for (UpstreamId upstream : this.routes.probes(open.spec, this.time.nanos())) {
			this.links.connection(upstream)
				.ifPresent((connection) -> connection.send(ControlCodec
					.encode(new ControlMessages.Probe(this.probes.ask(request), open.spec.prefixDigest()))));
		}
		if (this.probes.isEmpty(request)) {
			start(this.probes.finish(request));
		}
	}

	private void start(long request) {
		Optional.ofNullable(this.calls.get(request)).ifPresent((open) -> step(open, new EntryEvent.Start()));
	}

	private void hear(EntryInput.PeerSaid said) {
		UpstreamId upstream = UpstreamId.of(said.connection().peer().name());
		if (said.message() instanceof WireMessage.OfCall ofCall) {
			hearCall(upstream, said.connection(), ofCall.message());
		}
		else if (said.message() instanceof WireMessage.Control control) {
			hearControl(upstream, control);
		}
	}

	private void hearControl(UpstreamId upstream, WireMessage.Control control) {
		if (control.topic().equals(LoadReport.class.getSimpleName())) {
			this.routes.reported(upstream, ControlCodec.decode(control, LoadReport.class), this.time.nanos());
		}
		else if (control.topic().equals(ControlMessages.ProbeAnswer.class.getSimpleName())) {
			var answer = ControlCodec.decode(control, ControlMessages.ProbeAnswer.class);
			this.routes.reported(upstream, answer.report(), this.time.nanos());
			start(this.probes.answered(answer.question()));
		}
		else if (control.topic().equals(ControlMessages.UpstreamStateChanged.class.getSimpleName())) {
			var state = ControlCodec.decode(control, ControlMessages.UpstreamStateChanged.class);
			this.leaving.heard(upstream, state.leaving());
			this.routes.leaving(upstream, state.leaving());
			this.routes.healthy(upstream, state.healthy());
		}
	}

	private void hearCall(UpstreamId upstream, PeerConnection connection, CallMessage message) {
		OpenCall open = this.calls.get(message.attempt().request().number());
		if (open == null || message.attempt().request().incarnation() != this.incarnation) {
			this.metrics.counter("entry.messages.dropped").increment();
			return;
		}
		track(open, message);
		step(open, new EntryEvent.Received(upstream, connection.peer().incarnation(), message));
	}

	private void track(OpenCall open, CallMessage message) {
		OpenCall.OpenTry attempt = open.tries.get(message.attempt().attempt());
		if (attempt == null) {
			return;
		}
		if (message instanceof CallMessage.Data && !attempt.sawFirstToken) {
			attempt.sawFirstToken = true;
			this.routes.firstToken(attempt.upstream, open.spec, this.time.nanos());
		}
		else if (message instanceof CallMessage.End) {
			endTry(open, message.attempt().attempt(), Outcome.ANSWERED);
		}
		else if (message instanceof CallMessage.NotRun notRun) {
			boolean failed = notRun.code() == ErrorCode.ENGINE_UNREACHABLE;
			endTry(open, message.attempt().attempt(), failed ? Outcome.FAILED : Outcome.DECLINED);
		}
		else if (message instanceof CallMessage.Failed) {
			endTry(open, message.attempt().attempt(), Outcome.FAILED);
		}
	}

	private void endTry(OpenCall open, int number, Outcome outcome) {
		OpenCall.OpenTry attempt = open.tries.remove(number);
		if (attempt != null) {
			this.routes.finished(attempt.upstream, open.spec, attempt.sawFirstToken, outcome, this.time.nanos());
		}
	}

	private void lose(PeerConnection connection) {
		UpstreamId upstream = UpstreamId.of(connection.peer().name());
		this.links.down(connection).ifPresent((gone) -> {
			this.routes.reachable(gone, false);
			this.leaving.lost(gone, this.time.nanos());
		});
		this.connected = this.links.connected().size();
		List<OpenCall> affected = this.calls.values().stream().filter((open) -> open.uses(connection)).toList();
		for (OpenCall open : affected) {
			List<Integer> lost = open.tries.entrySet()
				.stream()
				.filter((entry) -> entry.getValue().connection == connection)
				.map(Map.Entry::getKey)
				.toList();
			lost.forEach((number) -> endTry(open, number, Outcome.FAILED));
			step(open, new EntryEvent.ConnectionLost(upstream));
		}
	}

	void tick() {
		long now = this.time.nanos();
		this.probes.expired(now).forEach(this::start);
		List<OpenCall> due = this.calls.values().stream().filter((open) -> open.call.nextWakeNanos() <= now).toList();
		due.forEach((open) -> step(open, new EntryEvent.Tick()));
	}

	private void step(OpenCall open, EntryEvent event) {
		open.call.on(event, this.time.nanos(), (action) -> perform(open, action));
		open.call.verdict().ifPresent((verdict) -> finish(open, verdict));
	}

	private void finish(OpenCall open, Verdict verdict) {
		if (this.calls.remove(open.call.id().number()) == null) {
			return;
		}
		List.copyOf(open.tries.keySet()).forEach((number) -> endTry(open, number, Outcome.CANCELLED));
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

	private void perform(OpenCall open, EntryAction action) {
		if (action instanceof EntryAction.Relay relay) {
			relay(open, relay.bytes());
		}
		else if (action instanceof EntryAction.Send send) {
			send(open, send);
		}
		else if (action instanceof EntryAction.SendCancel cancel) {
			this.links.connection(cancel.upstream())
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
			open.exchange.respond(ErrorReply.of(reject.verdict(), message(reject.verdict()), reject.retryAfterMillis())
				.withHeader(REQUEST_HEADER, open.call.id().toString()));
		}
		else if (action instanceof EntryAction.BreakStream broken) {
			breakStream(open, broken.verdict());
		}
		else if (action instanceof EntryAction.Decided decided) {
			log(open, decided.decision());
		}
	}

	private void relay(OpenCall open, byte[] bytes) {
		if (!open.sawFirstToken) {
			open.sawFirstToken = true;
			this.firstTokenTimer.record(this.time.nanos() - open.startedNanos, TimeUnit.NANOSECONDS);
		}
		if (!open.exchange.write(bytes)) {
			open.exchange.abort();
			step(open, new EntryEvent.CallerGone());
		}
	}

	private void send(OpenCall open, EntryAction.Send send) {
		Optional<PeerConnection> connection = this.links.connection(send.upstream());
		int number = send.call().attempt().attempt();
		if (connection.isPresent() && connection.get().send(new WireMessage.OfCall(send.call()))) {
			open.tries.put(number, new OpenCall.OpenTry(send.upstream(), connection.get()));
			this.routes.sent(send.upstream(), open.spec, this.time.nanos());
			open.call.on(new EntryEvent.Sent(number, connection.get().peer().incarnation()), this.time.nanos(),
					(action) -> perform(open, action));
		}
		else {
			step(open, new EntryEvent.SendFailed(number));
		}
	}

	private static void breakStream(OpenCall open, Verdict verdict) {
		if (open.spec.stream()) {
			open.exchange.write(ErrorReply.streamErrorEvent(verdict, message(verdict)));
		}
		open.exchange.abort();
	}

	private static String message(Verdict verdict) {
		if (verdict.mayHaveRun()) {
			return "the request may have run and its answer is not whole";
		}
		return "the request was not run";
	}

	private static void log(OpenCall open, RetryDecision decision) {
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
	int connected() {
		return this.connected;
	}

	/**
	 * Returns the configuration's version in force.
	 * @return the version; 0 if there is none
	 */
	long version() {
		return this.version;
	}

}
