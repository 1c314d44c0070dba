package io.bulrushrouter.gateway.forward;

import java.util.HashSet;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.Future;
import java.util.concurrent.TimeUnit;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import io.netty.handler.codec.http.DefaultFullHttpRequest;
import io.netty.handler.codec.http.FullHttpRequest;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpHeaders;
import io.netty.handler.codec.http.HttpResponse;
import io.netty.handler.codec.http.HttpVersion;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

import io.bulrushrouter.gateway.config.Organisation;
import io.bulrushrouter.gateway.config.Route;
import io.bulrushrouter.gateway.config.RouteKind;
import io.bulrushrouter.gateway.source.HeaderNames;
import io.bulrushrouter.gateway.source.UpstreamRecord;
import io.bulrushrouter.gateway.upstream.UpstreamSelector.Outcome;
import io.bulrushrouter.kernel.ErrorCode;
import io.bulrushrouter.kernel.Verdict;

/**
 * One request from its admission to its final answer, over as many attempts as it is
 * allowed.
 */
final class Exchange {

	private static final Logger logger = LoggerFactory.getLogger(Exchange.class);

	/** Tries to connect for one request; a try that reaches no upstream is no attempt. */
	private static final int MOST_CONNECTS = 4;

	private final GatewayContext context;

	private final CallerLink caller;

	private final Runnable done;

	private final CallerRequest request;

	private final Route route;

	private final Optional<Organisation> organisation;

	private final String service;

	private final long configurationVersion;

	private final long deadlineNanos;

	private final Set<String> tried = new HashSet<>();

	private final AnswerRelay relay;

	private final AdmissionTicket ticket;

	private Future<?> timeout;

	private UpstreamRecord upstream;

	private UpstreamConnection connection;

	private long sentNanos;

	private int attempts;

	private int connects;

	private int generation;

	private boolean mayHaveRun;

	private boolean ended;

	Exchange(GatewayContext context, CallerLink caller, Admitted admitted, Runnable done) {
		this.context = context;
		this.caller = caller;
		this.request = admitted.request();
		this.route = admitted.route();
		this.organisation = admitted.organisation();
		this.configurationVersion = admitted.configurationVersion();
		this.service = this.route.service(context.random().nextDouble());
		this.done = done;
		this.deadlineNanos = admitted.deadlineNanos();
		this.ticket = new AdmissionTicket(context, admitted, this.service, this::dispatch, this::refuseForLoad);
		this.relay = new AnswerRelay(context, caller, this.route, this.request, this::firstEvent);
	}

	void start() {
		this.context.opened();
		this.context.retryAllowance(this.service).recordRequest(this.context.nowNanos());
		this.timeout = this.context.loop()
			.schedule(this::timedOut, this.deadlineNanos - this.context.nowNanos(), TimeUnit.NANOSECONDS);
		this.ticket.ask();
	}

	private void refuseForLoad() {
		giveUp(Verdict.ofNotRun(ErrorCode.OVERLOADED), "more streams are in flight than meet their objective");
	}

	private void firstEvent() {
		this.ticket.firstEvent(TimeUnit.NANOSECONDS.toMillis(this.context.nowNanos() - this.sentNanos));
	}

	private void dispatch() {
		if (!keyStillValid()) {
			giveUp(Verdict.ofNotRun(ErrorCode.STORE_UNAVAILABLE), "configuration too old for keys");
			return;
		}
		Optional<UpstreamRecord> choice = this.context.choice()
			.pick(this.context.directory().ready(this.service), this.tried, this.context.nowNanos());
		if (choice.isEmpty()) {
			giveUp(Verdict.ofNotRun(ErrorCode.NO_UPSTREAM), "no upstream takes it");
			return;
		}
		this.upstream = choice.get();
		this.connects++;
		int current = ++this.generation;
		this.context.choice().started(this.upstream.id());
		boolean fresh = !this.route.repeatable();
		this.context.pool().acquire(this.upstream, fresh, (ready) -> connected(ready, current), (cause) -> {
			if (current == this.generation && !this.ended) {
				attemptFailed(Verdict.ofNotRun(ErrorCode.ENGINE_UNREACHABLE), cause);
			}
		});
	}

	private boolean keyStillValid() {
		return this.organisation.isEmpty() || this.context.keysProven();
	}

	private void connected(UpstreamConnection ready, int current) {
		if (current != this.generation || this.ended) {
			ready.abandon();
			return;
		}
		if (!this.context.directory().accepts(this.upstream.id())) {
			ready.abandon();
			attemptFailed(Verdict.ofNotRun(ErrorCode.DRAINING), "the upstream began to leave");
			return;
		}
		if (!keyStillValid()) {
			ready.abandon();
			attemptFailed(Verdict.ofNotRun(ErrorCode.STORE_UNAVAILABLE), "configuration too old for keys");
			return;
		}
		this.connection = ready;
		this.attempts++;
		this.tried.add(this.upstream.id());
		this.sentNanos = this.context.nowNanos();
		this.relay.attemptStarts(ready);
		ready.send(outgoing(), new AttemptOutcome(current));
	}

	private FullHttpRequest outgoing() {
		HeaderNames names = this.context.headers();
		FullHttpRequest copy = new DefaultFullHttpRequest(HttpVersion.HTTP_1_1, this.request.head().method(),
				this.request.head().uri(), Unpooled.wrappedBuffer(this.request.body()));
		HttpHeaders headers = copy.headers();
		RequestChecks.copyEndToEnd(this.request.head().headers(), headers);
		headers.remove(names.key()).remove(names.organisation());
		this.organisation.ifPresent((owner) -> headers.set(names.organisation(), owner.name()));
		headers.set(names.expectedUpstream(), this.upstream.id());
		headers.set(names.deadlineMillis(), Long.toString(Math.max(1, millisLeft())));
		this.relay.lastEventId().ifPresent((id) -> headers.set(names.lastEventId(), id));
		if (this.request.body().length > 0 || hasBodyFraming()) {
			headers.set(HttpHeaderNames.CONTENT_LENGTH, this.request.body().length);
		}
		return copy;
	}

	private boolean hasBodyFraming() {
		HttpHeaders headers = this.request.head().headers();
		return headers.contains(HttpHeaderNames.CONTENT_LENGTH) || headers.contains(HttpHeaderNames.TRANSFER_ENCODING);
	}

	private long millisLeft() {
		return TimeUnit.NANOSECONDS.toMillis(this.deadlineNanos - this.context.nowNanos());
	}

	private void attemptFailed(Verdict verdict, String detail) {
		this.generation++;
		this.connection = null;
		String code = verdict.failure().map(ErrorCode::text).orElse("none");
		this.context.metrics().attempt(code);
		this.context.choice().ended(this.upstream.id(), outcomeOf(verdict), this.context.nowNanos());
		this.mayHaveRun |= verdict.mayHaveRun();
		boolean again = mayTryAgain(verdict);
		logger.info(
				"event=attempt-failed request={} upstream={} attempt={} verdict={} code={} detail=\"{}\" "
						+ "millis-left={} events-sent={} again={}",
				attemptId(), this.upstream.id(), this.attempts, verdict.text(), code, detail, millisLeft(),
				this.relay.eventsSent(), again);
		this.tried.add(this.upstream.id());
		if (again) {
			dispatch();
		}
		else {
			giveUp(verdict, detail);
		}
	}

	private static Outcome outcomeOf(Verdict verdict) {
		ErrorCode code = verdict.failure().orElse(ErrorCode.INTERNAL);
		return switch (code) {
			case OVERLOADED, DRAINING, STORE_UNAVAILABLE -> Outcome.NEUTRAL;
			default -> Outcome.FAILURE;
		};
	}

	private boolean attemptsLeft() {
		return this.connects < MOST_CONNECTS && this.attempts < this.route.maxAttempts();
	}

	private boolean mayTryAgain(Verdict verdict) {
		if (this.ended || !attemptsLeft()) {
			return false;
		}
		if (verdict.mayHaveRun() && !this.route.repeatable()) {
			return false;
		}
		if (this.relay.started() && !(this.route.kind() == RouteKind.STREAM && this.route.resumable())) {
			return false;
		}
		// An attempt that reached no upstream adds no load that the allowance bounds.
		return this.attempts == 0 || this.context.retryAllowance(this.service).tryRetry(this.context.nowNanos());
	}

	private void giveUp(Verdict last, String detail) {
		Verdict verdict = this.mayHaveRun ? Verdict.ofMayHaveRun(last.failure().orElse(ErrorCode.INTERNAL)) : last;
		if (this.relay.started()) {
			this.caller.breakOff();
			end("broken-off", 0, verdict, detail);
			return;
		}
		int status = verdict.mayHaveRun() ? statusOfLost(verdict) : 503;
		long retryAfter = verdict.mayHaveRun() ? 0 : RetryAfter.millis(this.context.random());
		Refusal.send(this.caller, status, verdict, retryAfter);
		end("refused", status, verdict, detail);
	}

	private static int statusOfLost(Verdict verdict) {
		return verdict.failure().filter(ErrorCode.DEADLINE_EXCEEDED::equals).isPresent() ? 504 : 502;
	}

	private void timedOut() {
		if (this.ended) {
			return;
		}
		boolean sent = this.attempts > 0;
		stopAttempt();
		giveUp(sent ? Verdict.ofMayHaveRun(ErrorCode.DEADLINE_EXCEEDED) : Verdict.ofNotRun(ErrorCode.DEADLINE_EXCEEDED),
				"deadline or route timeout reached");
	}

	/**
	 * Ends the request since its caller has left.
	 */
	void callerLeft() {
		if (this.ended) {
			return;
		}
		stopAttempt();
		end("caller-left", 0,
				(this.attempts > 0) ? Verdict.ofMayHaveRun(ErrorCode.CANCELLED) : Verdict.ofNotRun(ErrorCode.CANCELLED),
				"the caller closed the connection");
	}

	private void stopAttempt() {
		this.generation++;
		if (this.upstream != null) {
			this.context.choice().ended(this.upstream.id(), Outcome.NEUTRAL, this.context.nowNanos());
		}
		if (this.connection != null) {
			this.connection.abandon();
			this.connection = null;
		}
	}

	/**
	 * Adapts the speed of the upstream to that of the caller.
	 * @param writable whether the caller keeps up
	 */
	void callerWritable(boolean writable) {
		if (this.connection != null && !this.ended) {
			this.connection.reading(writable);
		}
	}

	private void end(String event, int status, Verdict verdict, String detail) {
		this.ended = true;
		this.timeout.cancel(false);
		this.ticket.end();
		this.context.closed();
		long millis = TimeUnit.NANOSECONDS.toMillis(this.context.nowNanos() - this.request.arrivedNanos());
		String code = verdict.failure().map(ErrorCode::text).orElse("none");
		this.context.metrics().answered(status, code);
		logger.info("event={} request={} route={} organisation={} service={} upstream={} attempts={} connects={} "
				+ "status={} verdict={} code={} millis={} events={} configuration={} proof-age-ms={} detail=\"{}\"",
				event, attemptId(), this.route.name(), this.organisation.map(Organisation::name).orElse("-"),
				this.service, (this.upstream != null) ? this.upstream.id() : "-", this.attempts, this.connects, status,
				verdict.text(), code, millis, this.relay.eventsSent(), this.configurationVersion,
				this.context.freshness().ageMillis(), detail);
		this.done.run();
	}

	private String attemptId() {
		String id = this.request.header(this.context.headers().attemptId());
		return (id != null) ? id : "-";
	}

	/**
	 * Receives the answer of one attempt and hands it to the relay.
	 */
	private final class AttemptOutcome implements Attempt {

		private final int current;

		private AttemptOutcome(int current) {
			this.current = current;
		}

		private boolean stale() {
			return this.current != Exchange.this.generation || Exchange.this.ended;
		}

		@Override
		public void head(HttpResponse head) {
			if (!stale()) {
				boolean further = attemptsLeft() && Exchange.this.route.repeatable();
				react(Exchange.this.relay.head(head, Exchange.this.connection.carriedRequestBefore(), further));
			}
		}

		@Override
		public void content(ByteBuf part) {
			if (!stale()) {
				react(Exchange.this.relay.content(part));
			}
		}

		@Override
		public void end() {
			if (stale()) {
				return;
			}
			Exchange.this.relay.end();
			// Writing the end may show that the caller has left.
			if (!stale()) {
				succeeded();
			}
		}

		@Override
		public void failed(Verdict verdict, String detail) {
			if (!stale()) {
				attemptFailed(verdict, detail);
			}
		}

		private void react(Optional<AnswerRelay.Rejected> rejected) {
			rejected.ifPresent((reason) -> {
				Exchange.this.connection.abandon();
				attemptFailed(reason.verdict(), reason.detail());
			});
		}

		private void succeeded() {
			int status = Exchange.this.relay.status();
			Exchange.this.generation++;
			Exchange.this.connection = null;
			Exchange.this.context.metrics().attempt("answered");
			Exchange.this.context.choice()
				.ended(Exchange.this.upstream.id(), (status < 500) ? Outcome.SUCCESS : Outcome.FAILURE,
						Exchange.this.context.nowNanos());
			Exchange.this.end("answered", status, Verdict.ofAnswered(), "");
		}

	}

}
