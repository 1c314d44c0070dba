package io.bulrushrouter.gateway.forward;

import java.util.Optional;
import java.util.concurrent.Future;
import java.util.concurrent.TimeUnit;

import io.bulrushrouter.gateway.admission.AdmissionQueue;
import io.bulrushrouter.gateway.config.Route;

/**
 * Admission of one request under the concurrency limit of its service: the request is
 * admitted at once, after a short wait in the queue, or refused. Only streams to model
 * engines are limited; all other requests are admitted at once.
 */
final class AdmissionTicket {

	/**
	 * Share of the route's objective that a new stream may wait, so that it can still
	 * meet the objective.
	 */
	private static final double MAX_WAIT_RATIO = 0.4;

	/**
	 * Share of the remaining time that a stream may wait if its caller is retrying: it is
	 * late already.
	 */
	private static final double MAX_WAIT_RATIO_AFTER_RETRY = 0.25;

	/**
	 * A deadline that is shorter than the route's timeout by more than this marks a retry
	 * of the caller.
	 */
	private static final long RETRY_DETECTION_MARGIN_MILLIS = 150;

	private final GatewayContext context;

	private final Optional<AdmissionQueue<AdmissionTicket>> queue;

	private final Runnable onAdmitted;

	private final Runnable onRefused;

	private final boolean callerRetry;

	private final long maxWaitMillis;

	private Future<?> waitTimeout;

	private boolean holdsPermit;

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
		this.queue = context.admissionQueue(service, request.route());
		this.onAdmitted = onAdmitted;
		this.onRefused = onRefused;
		long remainingMillis = TimeUnit.NANOSECONDS
			.toMillis(request.deadlineNanos() - request.request().arrivedNanos());
		this.callerRetry = isCallerRetry(context, request.request(), request.route(), remainingMillis);
		this.maxWaitMillis = (long) (this.callerRetry ? MAX_WAIT_RATIO_AFTER_RETRY * remainingMillis
				: MAX_WAIT_RATIO * request.route().objective().toMillis());
	}

	private static boolean isCallerRetry(GatewayContext context, CallerRequest request, Route route,
			long remainingMillis) {
		return request.header(context.headers().lastEventId()) != null
				|| remainingMillis < route.timeout().toMillis() - RETRY_DETECTION_MARGIN_MILLIS;
	}

	void submit() {
		if (this.queue.isEmpty()) {
			this.onAdmitted.run();
			return;
		}
		switch (this.queue.get().offer(this, this.callerRetry)) {
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
	 * Records the latency of the first event of the stream.
	 * @param millis the time since the request was sent, in milliseconds
	 */
	void recordFirstEvent(long millis) {
		this.queue.ifPresent((admissionQueue) -> admissionQueue.limit().firstEvent(millis, this.context.nowNanos()));
	}

	/**
	 * Leaves the queue, or frees the place under the limit and admits waiting requests.
	 * Called once for each request, whatever its outcome.
	 */
	void requestEnded() {
		if (this.queue.isEmpty()) {
			return;
		}
		AdmissionQueue<AdmissionTicket> admissionQueue = this.queue.get();
		if (!this.holdsPermit) {
			admissionQueue.withdraw(this);
			if (this.waitTimeout != null) {
				this.waitTimeout.cancel(false);
			}
			return;
		}
		this.holdsPermit = false;
		admissionQueue.limit().ended();
		Optional<AdmissionTicket> next = admissionQueue.admitNext();
		while (next.isPresent()) {
			next.get().admit();
			next = admissionQueue.admitNext();
		}
	}

}
