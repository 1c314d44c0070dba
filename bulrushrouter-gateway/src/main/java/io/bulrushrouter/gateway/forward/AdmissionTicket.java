package io.bulrushrouter.gateway.forward;

import java.util.Optional;
import java.util.OptionalInt;
import java.util.concurrent.TimeUnit;

import io.bulrushrouter.gateway.admission.AdmissionSettings;
import io.bulrushrouter.gateway.admission.StreamAdmission;
import io.bulrushrouter.gateway.config.Organisation;
import io.bulrushrouter.gateway.config.Route;
import io.bulrushrouter.kernel.ErrorCode;
import io.bulrushrouter.kernel.OrganisationId;
import io.bulrushrouter.routing.admission.AdmissionQueue;
import io.bulrushrouter.routing.admission.StreamPace;
import io.bulrushrouter.routing.admission.WaitingStream;

/**
 * Admission of one request under the concurrency limits of its service: the request is
 * admitted at once, after a wait in the queue, or refused. Only streams to model engines
 * are limited; all other requests are admitted at once.
 */
final class AdmissionTicket {

	/**
	 * Share of the route's objective that a new stream may wait where only the latency of
	 * first events matters, so that it can still meet the objective.
	 */
	private static final double MAX_WAIT_RATIO = 0.4;

	/**
	 * Share of the remaining time that a stream may wait there if its caller is retrying:
	 * it is late already.
	 */
	private static final double MAX_WAIT_RATIO_AFTER_RETRY = 0.25;

	/**
	 * A deadline that is shorter than the route's timeout by more than this marks a retry
	 * of the caller.
	 */
	private static final long RETRY_DETECTION_MARGIN_MILLIS = 150;

	/**
	 * Bounds of the cost of a stream in mean costs. A factor of four between small and
	 * large streams keeps both within a quarter of the mean share of requests served.
	 */
	private static final double MIN_COST = 0.5;

	private static final double MAX_COST = 2;

	/** The organisation of requests without a key. */
	private static final OrganisationId ANONYMOUS = OrganisationId.of("anonymous");

	private final GatewayContext context;

	private final Optional<StreamAdmission<AdmissionTicket>> admission;

	private final Runnable onAdmitted;

	private final Runnable onRefused;

	private final WaitingStream<AdmissionTicket> stream;

	private final StreamPace pace = new StreamPace();

	private long decidedNanos;

	private boolean waiting;

	private boolean holdsPermit;

	private String decision = "";

	/**
	 * Creates a ticket.
	 * @param context the state shared by all requests
	 * @param request the request
	 * @param service the service that it is sent to
	 * @param onAdmitted runs when the request may be sent
	 * @param onRefused runs when the request is refused
	 */
	AdmissionTicket(GatewayContext context, AdmittedRequest request, String service, Runnable onAdmitted,
			Runnable onRefused) {
		this.context = context;
		this.admission = context.admission(service, request.route());
		this.onAdmitted = onAdmitted;
		this.onRefused = onRefused;
		this.stream = this.admission.map((found) -> waitingStream(found, request)).orElse(null);
	}

	private WaitingStream<AdmissionTicket> waitingStream(StreamAdmission<AdmissionTicket> found,
			AdmittedRequest request) {
		AdmissionSettings settings = found.settings();
		Route route = request.route();
		long arrived = request.request().arrivedNanos();
		long remainingMillis = TimeUnit.NANOSECONDS.toMillis(request.deadlineNanos() - arrived);
		long elapsedMillis = Math.max(0, route.timeout().toMillis() - remainingMillis);
		int priority = route.priorityFor(request.organisation());
		boolean returning = request.request().header(this.context.headers().lastEventId()) != null;
		double punctualMillis;
		double startByMillis;
		if (settings.maxEventGap().isPresent()) {
			// A caller that returns before it was asked to has missed its objective too,
			// but does not go before others.
			returning |= elapsedMillis > Math.max(RETRY_DETECTION_MARGIN_MILLIS,
					found.shortestReturnMillis(settings.classes().indexOf(priority)));
			punctualMillis = route.objective().toMillis() - elapsedMillis - found.firstEventMillis();
			startByMillis = startByMillis(found, remainingMillis);
		}
		else {
			returning |= elapsedMillis > RETRY_DETECTION_MARGIN_MILLIS;
			startByMillis = returning ? MAX_WAIT_RATIO_AFTER_RETRY * remainingMillis
					: MAX_WAIT_RATIO * route.objective().toMillis();
			punctualMillis = startByMillis;
		}
		return new WaitingStream<>(this,
				request.organisation().map((owner) -> organisationId(owner.name())).orElse(ANONYMOUS), priority,
				cost(request.request(), settings), returning, arrived, arrived + nanos(punctualMillis),
				arrived + nanos(startByMillis));
	}

	// A stream that is started later has no event before its caller leaves.
	private static double startByMillis(StreamAdmission<AdmissionTicket> found, long remainingMillis) {
		return Math.min(found.settings().patienceMillis(), remainingMillis) - found.firstEventMillis();
	}

	/**
	 * Creates a stream of mean length for an explanation, which is never offered.
	 * @param admission the admission of the service
	 * @param organisation the organisation, if known
	 * @param priority the priority
	 * @param returning whether the caller returns after a refusal
	 * @param nowNanos the current monotonic time, in nanoseconds
	 * @return the stream
	 */
	static WaitingStream<AdmissionTicket> explained(StreamAdmission<AdmissionTicket> admission,
			Optional<Organisation> organisation, int priority, boolean returning, long nowNanos) {
		AdmissionSettings settings = admission.settings();
		return new WaitingStream<>(null, organisation.map((owner) -> organisationId(owner.name())).orElse(ANONYMOUS),
				priority, AdmissionQueue.MEAN_COST, returning, nowNanos,
				nowNanos + nanos(settings.objective().toMillis() - admission.firstEventMillis()),
				nowNanos + nanos(startByMillis(admission, settings.patienceMillis())));
	}

	private static long nanos(double millis) {
		return (long) (millis * TimeUnit.MILLISECONDS.toNanos(1));
	}

	// Names of organisations come from the configuration and may be none that an
	// identifier allows.
	private static OrganisationId organisationId(String name) {
		return OrganisationId.isValid(name) ? OrganisationId.of(name)
				: OrganisationId.of("hash-" + Integer.toHexString(name.hashCode()));
	}

	private long cost(CallerRequest request, AdmissionSettings settings) {
		String counts = request.header(this.context.headers().tokenCounts());
		if (counts == null || settings.meanTokens() <= 0) {
			return AdmissionQueue.MEAN_COST;
		}
		double ratio = (double) sumOfNumbers(counts) / settings.meanTokens();
		return Math.round(AdmissionQueue.MEAN_COST * Math.max(MIN_COST, Math.min(MAX_COST, ratio)));
	}

	// The header holds the tokens of the prompt and of the answer, whatever separates
	// them.
	private static long sumOfNumbers(String text) {
		long sum = 0;
		long number = 0;
		for (int index = 0; index < text.length(); index++) {
			char each = text.charAt(index);
			boolean digit = each >= '0' && each <= '9';
			number = digit ? Math.min(Integer.MAX_VALUE, number * 10 + each - '0') : 0;
			boolean last = index + 1 == text.length() || text.charAt(index + 1) < '0' || text.charAt(index + 1) > '9';
			sum += (digit && last) ? number : 0;
		}
		return sum;
	}

	void submit() {
		if (this.admission.isEmpty()) {
			this.onAdmitted.run();
			return;
		}
		this.waiting = true;
		this.admission.get().offer(this.stream, this.context.nowNanos());
	}

	/**
	 * Sends the request. Called by the admission of the service.
	 */
	void admitted() {
		this.waiting = false;
		this.holdsPermit = true;
		this.decidedNanos = this.context.nowNanos();
		this.decision = describe();
		this.onAdmitted.run();
	}

	/**
	 * Refuses the request. Called by the admission of the service.
	 */
	void refused() {
		this.waiting = false;
		this.decidedNanos = this.context.nowNanos();
		this.decision = describe();
		this.onRefused.run();
	}

	private String describe() {
		StreamAdmission.State state = this.admission.orElseThrow().state(priorityClass());
		return "class=" + priorityClass() + " waited-ms=" + TimeUnit.NANOSECONDS.toMillis(waitNanos()) + " limit="
				+ state.limit() + " in-flight=" + state.inFlight() + " waiting=" + state.waiting()
				+ " predicted-interval-ms=" + Math.round(state.predictedMillis());
	}

	/**
	 * Returns the priority class of the stream.
	 * @return the class
	 */
	int priorityClass() {
		return this.admission.map((found) -> found.classOf(this.stream)).orElse(0);
	}

	/**
	 * Returns how long the stream has waited, or waited until it was admitted or refused.
	 * @return the time in nanoseconds
	 */
	long waitNanos() {
		long end = (this.decidedNanos != 0) ? this.decidedNanos : this.context.nowNanos();
		return Math.max(0, end - this.stream.arrivedNanos());
	}

	/**
	 * Returns the priority of the stream in an engine's queue.
	 * @return the priority, or empty if the service has one class only
	 */
	OptionalInt enginePriority() {
		if (this.admission.isEmpty() || this.admission.get().settings().classes().count() == 1) {
			return OptionalInt.empty();
		}
		return OptionalInt.of(this.admission.get().settings().classes().enginePriority(priorityClass()));
	}

	/**
	 * Records the latency of the first event of the stream.
	 * @param millis the time since the request was sent, in milliseconds
	 */
	void recordFirstEvent(long millis) {
		this.admission.ifPresent((found) -> found.firstEvent(millis, this.context.nowNanos()));
	}

	/**
	 * Records events that were read together.
	 * @param count the number of events, may be 0
	 */
	void recordEvents(int count) {
		if (count > 0 && this.holdsPermit) {
			this.admission.orElseThrow().events(this.pace, count, this.context.nowNanos());
		}
	}

	/**
	 * Records that the time until the next event does not show the pace of the engine.
	 */
	void readingInterrupted() {
		this.pace.interrupted();
	}

	/**
	 * Chooses the delay after which the refused caller is asked to retry.
	 * @param reason why the request was refused
	 * @param remainingMillis the time that the caller has left, in milliseconds
	 * @return the delay in milliseconds
	 */
	long retryAfterMillis(ErrorCode reason, long remainingMillis) {
		return this.admission
			.filter((found) -> reason == ErrorCode.OVERLOADED && found.settings().maxEventGap().isPresent())
			.map((found) -> found.retryAfterMillis(priorityClass(), remainingMillis, this.context.random()))
			.orElseGet(() -> RetryAfter.millis(reason, this.context.random()));
	}

	/**
	 * Returns what the log says about the admission and the pauses of the stream.
	 * @return the fields, each followed by a space; empty if the request is not limited
	 */
	String logFields() {
		if (this.admission.isEmpty()) {
			return "";
		}
		String admissionFields = (this.decision.isEmpty() ? describe() : this.decision) + " ";
		if (this.pace.longestBefore() == 0) {
			return admissionFields;
		}
		return admissionFields + "longest-pause-ms=" + TimeUnit.NANOSECONDS.toMillis(this.pace.longestNanos())
				+ " longest-pause-event=" + this.pace.longestBefore() + " longest-pause-at-ms="
				+ TimeUnit.NANOSECONDS.toMillis(this.pace.longestEndNanos() - this.stream.arrivedNanos()) + " ";
	}

	/**
	 * Leaves the queue, or frees the place under the limit and admits waiting requests.
	 * Called once for each request, whatever its outcome.
	 */
	void requestEnded() {
		if (this.waiting) {
			this.waiting = false;
			this.admission.orElseThrow().withdraw(this.stream);
		}
		else if (this.holdsPermit) {
			this.holdsPermit = false;
			this.admission.orElseThrow().ended(this.stream, this.pace, this.context.nowNanos());
		}
	}

}
