package io.bulrushrouter.gateway.forward;

import java.util.Optional;
import java.util.concurrent.Future;
import java.util.concurrent.TimeUnit;

import io.bulrushrouter.gateway.admission.AdmissionLine;
import io.bulrushrouter.gateway.config.Route;

/**
 * A request's way through admission: sent on at once, after a short wait, or refused.
 * Requests to plain services are admitted at once.
 */
final class AdmissionTicket {

	/** Part of the objective that a new stream may wait, so that it can still meet it. */
	private static final double MAX_WAIT_RATIO = 0.4;

	/** Part of what is left that a stream may wait whose caller came back: it is late. */
	private static final double MAX_WAIT_RATIO_AFTER_RETRY = 0.25;

	/** A caller that allows this much less than the route does has been here before. */
	private static final long RETRY_DETECTION_MARGIN_MILLIS = 150;

	private final GatewayContext context;

	private final Optional<AdmissionLine<AdmissionTicket>> queue;

	private final Runnable onAdmitted;

	private final Runnable onRefused;

	private final boolean callerRetry;

	private final long maxWaitMillis;

	private Future<?> waitTimeout;

	private boolean holdsPermit;

	/**
	 * Creates a ticket.
	 * @param context what all requests share
	 * @param request the admitted request
	 * @param service the service that it goes to
	 * @param admitted runs when it may be sent on
	 * @param refused runs when it may not
	 */
	AdmissionTicket(GatewayContext context, AdmittedRequest request, String service, Runnable admitted,
			Runnable refused) {
		this.context = context;
		this.queue = context.admissionQueue(service, request.route());
		this.onAdmitted = admitted;
		this.onRefused = refused;
		long leftMillis = TimeUnit.NANOSECONDS.toMillis(request.deadlineNanos() - request.request().arrivedNanos());
		this.callerRetry = callerRetry(context, request.request(), request.route(), leftMillis);
		this.maxWaitMillis = (long) (this.callerRetry ? MAX_WAIT_RATIO_AFTER_RETRY * leftMillis
				: MAX_WAIT_RATIO * request.route().objective().toMillis());
	}

	private static boolean callerRetry(GatewayContext context, CallerRequest request, Route route, long leftMillis) {
		return request.header(context.headers().lastEventId()) != null
				|| leftMillis < route.timeout().toMillis() - RETRY_DETECTION_MARGIN_MILLIS;
	}

	void submit() {
		if (this.queue.isEmpty()) {
			this.onAdmitted.run();
			return;
		}
		switch (this.queue.get().ask(this, this.callerRetry)) {
			case ADMITTED -> admit();
			case WAITING -> startWaitTimeout();
			case REFUSED -> this.onRefused.run();
		}
	}

	private void admit() {
		this.holdsPermit = true;
		if (this.waitTimeout != null) {
			this.waitTimeout.cancel(false);
		}
		this.onAdmitted.run();
	}

	private void startWaitTimeout() {
		this.waitTimeout = this.context.loop().schedule(this::waitTimedOut, this.maxWaitMillis, TimeUnit.MILLISECONDS);
	}

	private void waitTimedOut() {
		if (this.queue.orElseThrow().withdraw(this)) {
			this.onRefused.run();
		}
	}

	/**
	 * Notes the first event of the stream.
	 * @param millis the time since it was sent on, in milliseconds
	 */
	void recordFirstEvent(long millis) {
		this.queue.ifPresent((waiting) -> waiting.limit().firstEvent(millis, this.context.nowNanos()));
	}

	/**
	 * Notes the end of the request, however it ended.
	 */
	void requestEnded() {
		if (this.queue.isEmpty()) {
			return;
		}
		AdmissionLine<AdmissionTicket> waiting = this.queue.get();
		if (!this.holdsPermit) {
			waiting.withdraw(this);
			if (this.waitTimeout != null) {
				this.waitTimeout.cancel(false);
			}
			return;
		}
		this.holdsPermit = false;
		waiting.limit().ended();
		Optional<AdmissionTicket> next = waiting.next();
		while (next.isPresent()) {
			next.get().admit();
			next = waiting.next();
		}
	}

}
