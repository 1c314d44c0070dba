package io.bulrushrouter.gateway.forward;

import java.util.HashSet;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.Future;
import java.util.concurrent.TimeUnit;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import io.netty.handler.codec.http.DefaultFullHttpRequest;
import io.netty.handler.codec.http.EmptyHttpHeaders;
import io.netty.handler.codec.http.FullHttpRequest;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpHeaders;
import io.netty.handler.codec.http.HttpResponse;
import io.netty.handler.codec.http.HttpVersion;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

import io.bulrushrouter.gateway.config.ActiveConfiguration;
import io.bulrushrouter.gateway.config.Organisation;
import io.bulrushrouter.gateway.config.Route;
import io.bulrushrouter.gateway.config.RouteKind;
import io.bulrushrouter.gateway.quarantine.CrashEvidence;
import io.bulrushrouter.gateway.quarantine.CrashEvidence.Quarantine;
import io.bulrushrouter.gateway.source.HeaderNames;
import io.bulrushrouter.gateway.source.UpstreamRecord;
import io.bulrushrouter.gateway.upstream.AttemptObservation;
import io.bulrushrouter.gateway.upstream.AttemptSize;
import io.bulrushrouter.gateway.upstream.UpstreamSelector.Outcome;
import io.bulrushrouter.http.CompactHeaders;
import io.bulrushrouter.kernel.ErrorCode;
import io.bulrushrouter.kernel.Verdict;

/**
 * Serves one admitted request up to its final response, with as many attempts as its
 * route and the retry budget permit.
 */
final class Exchange implements CallerExchange {

	private static final Logger logger = LoggerFactory.getLogger(Exchange.class);

	/**
	 * Limit of connects for one request. A connect that fails does not count as an
	 * attempt, so that the attempts of the route do not bound it.
	 */
	private static final int MAX_CONNECTS = 4;

	private static final Set<ErrorCode> FINAL_REFUSALS = Set.of(ErrorCode.TOO_LARGE, ErrorCode.UNAUTHORISED);

	private final GatewayContext context;

	private final ResponseWriter responseWriter;

	private final Runnable onComplete;

	private final CallerRequest request;

	private final RequestFingerprints fingerprints;

	private final EngineTokens tokens;

	private final Route route;

	private Optional<Organisation> organisation;

	private final String service;

	private long configurationVersion;

	private final long deadlineNanos;

	private final Set<String> triedUpstreams = new HashSet<>();

	private final ResponseRelay relay;

	private final AdmissionTicket ticket;

	private final Runnable onUnresponsive = this::leaveUnresponsiveUpstream;

	private final AttemptSize size;

	private AttemptObservation observation = AttemptObservation.NONE;

	private Future<?> timeout;

	private UpstreamRecord upstream;

	private UpstreamConnection connection;

	private EventProgress progress;

	private long coldDelayEndNanos;

	private long sentNanos;

	private long heardNanos;

	private int connectionRequests;

	private int attempts;

	private int connects;

	private int generation;

	private boolean mayHaveRun;

	private boolean ended;

	Exchange(GatewayContext context, ResponseWriter responseWriter, AdmittedRequest admitted, Runnable onComplete) {
		this.context = context;
		this.responseWriter = responseWriter;
		this.request = admitted.request();
		this.fingerprints = new RequestFingerprints(context, this.request);
		this.route = admitted.route();
		this.size = AttemptSize.of(this.route.kind(), this.request.header(context.headers().tokenCounts()),
				this.request.body().length);
		this.organisation = admitted.organisation();
		this.configurationVersion = admitted.configurationVersion();
		this.service = this.route.service(context.random().nextDouble());
		this.tokens = context.engineTokens(this.request, this.service);
		this.onComplete = onComplete;
		this.deadlineNanos = admitted.deadlineNanos();
		this.ticket = new AdmissionTicket(context, admitted, this.service, this::dispatch, this::refuseAsOverloaded);
		this.relay = new ResponseRelay(context, responseWriter, this.route, this.request, this::firstEvent);
	}

	@Override
	public void start() {
		this.context.requestStarted();
		this.context.retryBudget(this.service).recordRequest(this.context.nowNanos());
		this.timeout = this.context.loop()
			.schedule(this::timedOut, this.deadlineNanos - this.context.nowNanos(), TimeUnit.NANOSECONDS);
		if (!refusedAsQuarantined()) {
			this.ticket.submit();
		}
	}

	private boolean refusedAsQuarantined() {
		Optional<Quarantine> quarantine = this.fingerprints.quarantine();
		quarantine.ifPresent((found) -> giveUp(Verdict.ofNotRun(ErrorCode.QUARANTINED), describe(found)));
		return quarantine.isPresent();
	}

	private static String describe(Quarantine quarantine) {
		return quarantine.fingerprint().text() + " is suspected of the crashes of " + quarantine.upstreams();
	}

	private void refuseAsOverloaded() {
		giveUp(Verdict.ofNotRun(ErrorCode.OVERLOADED), "no room under the concurrency limit of the service");
	}

	private void firstEvent() {
		this.ticket.recordFirstEvent(TimeUnit.NANOSECONDS.toMillis(this.context.nowNanos() - this.sentNanos));
	}

	private void dispatch() {
		if (refusedAsQuarantined()) {
			return;
		}
		Optional<ErrorCode> withdrawn = findWithdrawnAccess();
		if (withdrawn.isPresent()) {
			giveUp(Verdict.ofNotRun(withdrawn.get()), describe(withdrawn.get()));
			return;
		}
		Optional<String> oversize = this.tokens.oversize();
		if (oversize.isPresent()) {
			giveUp(Verdict.ofNotRun(ErrorCode.TOO_LARGE), oversize.get());
			return;
		}
		if (this.context.pool().exhausted()) {
			giveUp(Verdict.ofNotRun(ErrorCode.OVERLOADED), "all connections to upstreams carry a request");
			return;
		}
		Optional<UpstreamRecord> choice = this.context.selectUpstream(this.service, this.triedUpstreams, this.tokens);
		if (choice.isEmpty()) {
			// A retry is not delayed: its caller has already waited for an attempt.
			if (this.upstream == null && this.context.warmup().delay(this.service, coldDelayEndNanos(), () -> {
				if (!this.ended) {
					dispatch();
				}
			})) {
				return;
			}
			giveUp(Verdict.ofNotRun(ErrorCode.NO_UPSTREAM), "no upstream accepts the request");
			return;
		}
		this.upstream = choice.get();
		this.connects++;
		int current = ++this.generation;
		this.context.upstreamSelector().started(this.upstream.id());
		this.tokens.reserve(this.upstream);
		this.context.notices().sent(this.upstream.id(), this.context.nowNanos());
		Optional<String> reuseFor = this.route.repeatable() ? identifier() : Optional.empty();
		this.context.pool().acquire(this.upstream, reuseFor, (ready) -> connected(ready, current), (cause) -> {
			if (current == this.generation && !this.ended) {
				attemptFailed(Verdict.ofNotRun(ErrorCode.ENGINE_UNREACHABLE), cause);
			}
		});
	}

	private long coldDelayEndNanos() {
		if (this.coldDelayEndNanos == 0) {
			this.coldDelayEndNanos = this.context.nowNanos() + WarmupCoordinator.MAX_DELAY_NANOS;
		}
		return this.coldDelayEndNanos;
	}

	// The key may be taken away, or the configuration become too old, while the request
	// waits.
	private Optional<ErrorCode> findWithdrawnAccess() {
		ActiveConfiguration current = this.context.configuration().orElseThrow();
		if (current.version() != this.configurationVersion) {
			this.configurationVersion = current.version();
			Optional<String> key = Optional.ofNullable(this.request.header(this.context.headers().key()));
			this.organisation = key.flatMap(current::organisation);
			if (this.organisation.isEmpty() && AdmissionHandler.lacksKey(current, this.route, key)) {
				return Optional.of(ErrorCode.UNAUTHORISED);
			}
		}
		return (this.organisation.isEmpty() || this.context.keysVerified()) ? Optional.empty()
				: Optional.of(ErrorCode.STORE_UNAVAILABLE);
	}

	private static String describe(ErrorCode withdrawn) {
		return (withdrawn == ErrorCode.UNAUTHORISED) ? "the key was taken away while the request waited"
				: "configuration too old for keys";
	}

	private void connected(UpstreamConnection ready, int current) {
		if (current != this.generation || this.ended) {
			ready.abandon();
			return;
		}
		if (!this.context.accepts(this.upstream)) {
			ready.abandon();
			attemptFailed(Verdict.ofNotRun(ErrorCode.DRAINING), "the upstream started to drain or pushed back");
			return;
		}
		Optional<ErrorCode> withdrawn = findWithdrawnAccess();
		if (withdrawn.isPresent()) {
			ready.abandon();
			attemptFailed(Verdict.ofNotRun(withdrawn.get()), Outcome.NEUTRAL, describe(withdrawn.get()), false);
			return;
		}
		Optional<Quarantine> quarantine = this.fingerprints.quarantine();
		if (quarantine.isPresent()) {
			ready.abandon();
			attemptFailed(Verdict.ofNotRun(ErrorCode.QUARANTINED), Outcome.NEUTRAL, describe(quarantine.get()), false);
			return;
		}
		this.connection = ready;
		this.fingerprints.sent();
		this.attempts++;
		this.triedUpstreams.add(this.upstream.id());
		this.sentNanos = this.context.nowNanos();
		this.heardNanos = this.sentNanos;
		this.relay.startAttempt(ready);
		this.progress = new EventProgress(this.route.objective(), this.route.maxEventGap());
		this.ticket.readingInterrupted();
		this.connectionRequests = ready.requests() + 1;
		this.observation = this.context.upstreamSelector().observe(this.upstream, this.size, this.sentNanos);
		this.context.monitor().requestSent(this.upstream, this.onUnresponsive);
		ready.send(upstreamRequest(), identifier(), new AttemptResponseHandler(current));
	}

	private FullHttpRequest upstreamRequest() {
		HeaderNames names = this.context.headers();
		HttpHeaders headers = new CompactHeaders();
		RequestChecks.copyEndToEnd(this.request.head().headers(), headers);
		headers.remove(names.key()).remove(names.organisation());
		this.organisation.ifPresent((owner) -> headers.set(names.organisation(), owner.name()));
		headers.set(names.expectedUpstream(), this.upstream.id());
		headers.set(names.deadlineMillis(), Long.toString(Math.max(1, remainingMillis())));
		this.ticket.enginePriority().ifPresent((value) -> headers.set(names.priority(), Integer.toString(value)));
		this.relay.lastEventId().ifPresent((id) -> headers.set(names.lastEventId(), id));
		if (this.request.body().length > 0 || hasBodyFraming()) {
			headers.set(HttpHeaderNames.CONTENT_LENGTH, this.request.body().length);
		}
		return new DefaultFullHttpRequest(HttpVersion.HTTP_1_1, this.request.head().method(), this.request.head().uri(),
				Unpooled.wrappedBuffer(this.request.body()), headers, EmptyHttpHeaders.INSTANCE);
	}

	private boolean hasBodyFraming() {
		HttpHeaders headers = this.request.head().headers();
		return headers.contains(HttpHeaderNames.CONTENT_LENGTH) || headers.contains(HttpHeaderNames.TRANSFER_ENCODING);
	}

	private long remainingMillis() {
		return TimeUnit.NANOSECONDS.toMillis(this.deadlineNanos - this.context.nowNanos());
	}

	private void attemptFailed(Verdict verdict, String detail) {
		attemptFailed(verdict, outcomeOf(verdict), detail, mayRetry(verdict));
	}

	private void attemptFailed(Verdict verdict, Outcome outcome, String detail, boolean retry) {
		this.generation++;
		releaseConnection();
		this.tokens.release();
		String code = verdict.failure().map(ErrorCode::text).orElse("none");
		this.context.metrics().countAttempt(code);
		this.context.upstreamSelector().ended(this.upstream.id(), outcome, this.context.nowNanos());
		endObservation(verdict);
		this.context.warmup().attemptFailed(this.upstream, verdict);
		this.mayHaveRun |= verdict.mayHaveRun();
		logger.info(
				"event=attempt-failed request={} upstream={} attempt={} verdict={} code={} detail=\"{}\" "
						+ "millis-left={} events-sent={} attempt-events={} prompt-parts={} request-digest={} "
						+ "connection-requests={} upstream-status=\"{}\" retrying={}",
				attemptId(), this.upstream.id(), this.attempts, verdict.text(), code, detail, remainingMillis(),
				this.relay.eventsSent(), this.relay.attemptEvents(),
				verdict.mayHaveRun() ? this.fingerprints.loggedParts() : "-",
				verdict.mayHaveRun() ? this.fingerprints.digest() : "-", this.connectionRequests, receivedStatus(),
				retry);
		this.triedUpstreams.add(this.upstream.id());
		if (retry) {
			dispatch();
		}
		else {
			giveUp(verdict, detail);
		}
	}

	// An upstream that says for how long it wants no requests gets none anyway.
	private void endObservation(Verdict verdict) {
		long nowNanos = this.context.nowNanos();
		if (verdict.failure().filter(ErrorCode.OVERLOADED::equals).isPresent()
				&& !this.context.notices().paused(this.upstream.id(), nowNanos)) {
			this.observation.refused(nowNanos);
		}
		this.observation.abandoned(nowNanos);
	}

	private void releaseConnection() {
		this.connection = null;
		this.context.monitor().requestEnded(this.upstream.id(), this.onUnresponsive);
	}

	// The request stays where it is if it cannot be sent elsewhere: the upstream may
	// resume in time. No failure is counted, since an unresponsive upstream gets no
	// requests anyway and is to get them as soon as it responds.
	private void leaveUnresponsiveUpstream() {
		if (this.ended || this.connection == null) {
			return;
		}
		Verdict verdict = Verdict.ofMayHaveRun(ErrorCode.ENGINE_UNREACHABLE);
		boolean alternative = this.context.selectUpstream(this.service, this.triedUpstreams, this.tokens)
			.filter((other) -> this.context.upstreamSelector().responsive(other.id()))
			.isPresent();
		if (alternative && mayRetry(verdict)) {
			this.connection.abandon();
			attemptFailed(verdict, Outcome.NEUTRAL, "the upstream is unresponsive", true);
		}
	}

	// An upstream that refuses requests for a time is overloaded but works.
	private Outcome outcomeOf(Verdict verdict) {
		if (this.context.notices().paused(this.upstream.id(), this.context.nowNanos())) {
			return Outcome.NEUTRAL;
		}
		ErrorCode code = verdict.failure().orElse(ErrorCode.INTERNAL);
		return switch (code) {
			case OVERLOADED, DRAINING, STORE_UNAVAILABLE -> Outcome.NEUTRAL;
			default -> Outcome.FAILURE;
		};
	}

	private boolean attemptsLeft() {
		return this.connects < MAX_CONNECTS && this.attempts < this.route.maxAttempts();
	}

	private boolean mayRetry(Verdict verdict) {
		if (this.ended || !attemptsLeft()) {
			return false;
		}
		if (verdict.mayHaveRun() && !this.route.repeatable()) {
			return false;
		}
		if (this.relay.started() && !(this.route.kind() == RouteKind.STREAM && this.route.resumable())) {
			return false;
		}
		// A failed connect adds no load to the upstreams, so it does not draw on the
		// retry budget.
		return this.attempts == 0 || this.context.retryBudget(this.service).tryRetry(this.context.nowNanos());
	}

	private void giveUp(Verdict lastVerdict, String detail) {
		Verdict verdict = this.mayHaveRun ? Verdict.ofMayHaveRun(lastVerdict.failure().orElse(ErrorCode.INTERNAL))
				: lastVerdict;
		if (this.relay.started()) {
			this.responseWriter.abort();
			end("broken-off", 0, verdict, detail);
			return;
		}
		int status = verdict.mayHaveRun() ? statusForUnknownOutcome(verdict) : statusForNotRun(verdict);
		long retryAfter = (status == 503) ? retryAfterMillis(verdict) : 0;
		ErrorResponse.send(this.responseWriter, status, verdict, retryAfter);
		end("refused", status, verdict, detail);
	}

	private long retryAfterMillis(Verdict verdict) {
		long pausedMillis = this.context.pausedMillis(this.service);
		long quarantinedMillis = this.fingerprints.quarantine().map(Quarantine::remainingMillis).orElse(0L);
		ErrorCode reason = verdict.failure().orElse(ErrorCode.INTERNAL);
		return Math.max(pausedMillis, quarantinedMillis) + this.ticket.retryAfterMillis(reason, remainingMillis());
	}

	private static int statusForUnknownOutcome(Verdict verdict) {
		return verdict.failure().filter(ErrorCode.DEADLINE_EXCEEDED::equals).isPresent() ? 504 : 502;
	}

	// A request that is too large for every upstream, or whose key was taken away, is not
	// worth another try.
	private static int statusForNotRun(Verdict verdict) {
		return verdict.failure().filter(FINAL_REFUSALS::contains).map(ErrorCode::httpStatus).orElse(503);
	}

	private void timedOut() {
		if (this.ended) {
			return;
		}
		boolean sent = this.attempts > 0;
		cancelAttempt();
		giveUp(sent ? Verdict.ofMayHaveRun(ErrorCode.DEADLINE_EXCEEDED) : Verdict.ofNotRun(ErrorCode.DEADLINE_EXCEEDED),
				"deadline or route timeout reached");
	}

	@Override
	public void callerDisconnected(String detail) {
		if (this.ended) {
			return;
		}
		cancelAttempt();
		end("caller-left", 0,
				(this.attempts > 0) ? Verdict.ofMayHaveRun(ErrorCode.CANCELLED) : Verdict.ofNotRun(ErrorCode.CANCELLED),
				detail);
	}

	private void cancelAttempt() {
		this.generation++;
		if (this.upstream != null) {
			this.observation.abandoned(this.context.nowNanos());
			this.context.upstreamSelector().ended(this.upstream.id(), Outcome.NEUTRAL, this.context.nowNanos());
		}
		if (this.connection != null) {
			this.connection.abandon();
			releaseConnection();
		}
	}

	@Override
	public void callerWritabilityChanged(boolean writable) {
		if (this.connection != null && !this.ended) {
			this.observation.discard();
			this.connection.reading(writable);
			this.ticket.readingInterrupted();
		}
	}

	private void end(String event, int status, Verdict verdict, String detail) {
		this.ended = true;
		this.relay.discard();
		this.timeout.cancel(false);
		this.tokens.release();
		this.ticket.requestEnded();
		this.context.requestEnded();
		long millis = TimeUnit.NANOSECONDS.toMillis(this.context.nowNanos() - this.request.arrivedNanos());
		String code = verdict.failure().map(ErrorCode::text).orElse("none");
		this.context.metrics().countResponse(status, code);
		logger.info(
				"event={} request={} route={} organisation={} service={} upstream={} attempts={} connects={} "
						+ "status={} verdict={} code={} millis={} attempt-millis={} silent-millis={} connection={} "
						+ "connection-requests={} upstream-status=\"{}\" framing={} events={} unfinished-bytes={} "
						+ "configuration={} proof-age-ms={} {}detail=\"{}\"",
				event, attemptId(), this.route.name(), this.organisation.map(Organisation::name).orElse("-"),
				this.service, (this.upstream != null) ? this.upstream.id() : "-", this.attempts, this.connects, status,
				verdict.text(), code, millis, millisSince(this.sentNanos), millisSince(this.heardNanos),
				connectionKind(), this.connectionRequests, receivedStatus(), this.relay.framing().text(),
				this.relay.eventsSent(), this.relay.unfinishedBytes(), this.configurationVersion,
				this.context.freshness().ageMillis(), this.ticket.logFields(), detail);
		this.onComplete.run();
	}

	private long millisSince(long nanos) {
		return (this.attempts > 0) ? TimeUnit.NANOSECONDS.toMillis(this.context.nowNanos() - nanos) : 0;
	}

	private String receivedStatus() {
		return this.relay.receivedStatus().map(Object::toString).orElse("-").replace('"', '.');
	}

	private String connectionKind() {
		if (this.attempts == 0) {
			return "none";
		}
		return (this.connectionRequests > 1) ? "reused" : "new";
	}

	private Optional<String> identifier() {
		return Optional.ofNullable(this.request.header(this.context.headers().attemptId()));
	}

	private String attemptId() {
		return identifier().orElse("-");
	}

	/**
	 * Passes the response to one attempt to the relay. Ignores what arrives after the
	 * attempt has ended.
	 */
	private final class AttemptResponseHandler implements ResponseHandler {

		private final int current;

		private AttemptResponseHandler(int current) {
			this.current = current;
		}

		private boolean stale() {
			return this.current != Exchange.this.generation || Exchange.this.ended;
		}

		@Override
		public void onHead(HttpResponse head) {
			if (!stale()) {
				heard();
				Exchange.this.context.recordNotice(Exchange.this.upstream, head);
				boolean retryPossible = attemptsLeft() && Exchange.this.route.repeatable();
				failIfRejected(
						Exchange.this.relay.relayHead(head, Exchange.this.connectionRequests > 1, retryPossible));
			}
		}

		@Override
		public void onContent(ByteBuf part) {
			if (stale()) {
				part.release();
			}
			else {
				heard();
				boolean begun = responseBegun();
				int eventsBefore = Exchange.this.relay.attemptEvents();
				Optional<ResponseRelay.Rejection> rejected = Exchange.this.relay.relayContent(part);
				Exchange.this.observation.progress(Exchange.this.relay.attemptEvents(), Exchange.this.relay.started(),
						Exchange.this.context.nowNanos());
				Exchange.this.ticket.recordEvents(Exchange.this.relay.attemptEvents() - eventsBefore);
				if (!Exchange.this.responseWriter.writable()) {
					Exchange.this.ticket.readingInterrupted();
				}
				if (!begun && responseBegun()) {
					Exchange.this.fingerprints.succeeded();
				}
				failIfRejected(rejected);
			}
		}

		@Override
		public void onBytes() {
			Exchange exchange = Exchange.this;
			if (stale() || exchange.route.kind() != RouteKind.STREAM) {
				return;
			}
			int completed = exchange.relay.attemptEvents() + (exchange.relay.headReceived() ? 1 : 0);
			if (exchange.progress.bytesArrived(completed, exchange.connection.readingClock())) {
				failIfRejected(ResponseRelay.broken("the upstream sends bytes but completes no event"));
			}
		}

		@Override
		public void onEnd() {
			if (stale()) {
				return;
			}
			Optional<ResponseRelay.Rejection> broken = Exchange.this.relay.relayEnd();
			if (broken.isPresent() && Exchange.this.connection.unreadLoss()) {
				failAsUnread(broken.get().verdict(), broken.get().detail());
				return;
			}
			if (broken.isPresent() && Exchange.this.relay.framing() == ResponseFraming.CONNECTION) {
				recordLostConnection();
			}
			failIfRejected(broken);
			// Writing the end may reveal that the caller has closed the connection.
			if (!stale()) {
				succeeded();
			}
		}

		@Override
		public void onFailure(Verdict verdict, String detail) {
			if (stale()) {
				return;
			}
			if (verdict.mayHaveRun() && Exchange.this.connection.unreadLoss()) {
				failAsUnread(verdict, detail + " after the response was not read for "
						+ Exchange.this.connection.longestPauseMillis() + " ms");
				return;
			}
			if (verdict.mayHaveRun()) {
				recordLostConnection();
			}
			attemptFailed(verdict, detail);
		}

		// An upstream that responds has not crashed.
		@Override
		public void onMalformed(String detail, long unverifiedBytes) {
			if (stale()) {
				return;
			}
			Verdict verdict = Verdict.ofMayHaveRun(ErrorCode.CONNECTION_LOST);
			boolean retry = !Exchange.this.relay.forwardedAnyOfLast(unverifiedBytes) && mayRetry(verdict);
			attemptFailed(verdict, outcomeOf(verdict), "malformed response: " + detail, retry);
		}

		// The upstream cut the response since it could not send it: neither a crash nor a
		// failure of the upstream.
		private void failAsUnread(Verdict verdict, String detail) {
			Exchange.this.connection.abandon();
			attemptFailed(verdict, Outcome.NEUTRAL, detail, mayRetry(verdict));
		}

		private boolean responseBegun() {
			return Exchange.this.relay.attemptEvents() >= CrashEvidence.EVENTS_OF_SOUND_START;
		}

		private void recordLostConnection() {
			if (!responseBegun()) {
				Exchange.this.fingerprints.connectionLost(Exchange.this.upstream);
			}
		}

		private void heard() {
			Exchange.this.heardNanos = Exchange.this.context.nowNanos();
			Exchange.this.context.monitor().heard(Exchange.this.upstream.id());
		}

		private void failIfRejected(Optional<ResponseRelay.Rejection> rejected) {
			rejected.ifPresent((reason) -> {
				Exchange.this.connection.abandon();
				Exchange.this.context.metrics().countRejectedResponse(reason.reason().text());
				attemptFailed(reason.verdict(), reason.detail());
			});
		}

		private void succeeded() {
			int status = Exchange.this.relay.status();
			Exchange.this.generation++;
			releaseConnection();
			Exchange.this.fingerprints.succeeded();
			Exchange.this.context.metrics().countAttempt("answered");
			Exchange.this.observation.completed(status < 300, Exchange.this.context.nowNanos());
			Exchange.this.context.upstreamSelector()
				.ended(Exchange.this.upstream.id(), (status < 500) ? Outcome.SUCCESS : Outcome.FAILURE,
						Exchange.this.context.nowNanos());
			Exchange.this.end("answered", status, Verdict.ofAnswered(), "");
		}

	}

}
