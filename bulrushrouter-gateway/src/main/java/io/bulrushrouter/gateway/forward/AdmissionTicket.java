package io.bulrushrouter.gateway.forward;

import java.util.Optional;
import java.util.concurrent.Future;
import java.util.concurrent.TimeUnit;

import io.bulrushrouter.gateway.admission.AdmissionQueue;
import io.bulrushrouter.gateway.config.Route;

/**
 * A request's way through admission: sent on at once, after a short wait, or refused.
 * Requests to plain services are admitted at once.
 */
final class AdmissionTicket {

	/** Part of the objective that a new stream may wait, so that it can still meet it. */
	private static final double PATIENCE = 0.4;

	/** Part of what is left that a stream may wait whose caller came back: it is late. */
	private static final double PATIENCE_AFTER_RETURN = 0.25;

	/** A caller that allows this much less than the route does has been here before. */
	private static final long RETURN_MARGIN_MILLIS = 150;

	private final GatewayContext context;

	private final Optional<AdmissionQueue<AdmissionTicket>> line;

	private final Runnable admitted;

	private final Runnable refused;

	private final boolean cameBack;

	private final long patienceMillis;

	private Future<?> patience;

	private boolean holdsRoom;

	/**
	 * Creates a ticket.
	 * @param context what all requests share
	 * @param request the admitted request
	 * @param service the service that it goes to
	 * @param admitted runs when it may be sent on
	 * @param refused runs when it may not
	 */
	AdmissionTicket(GatewayContext context, Admitted request, String service, Runnable admitted, Runnable refused) {
		this.context = context;
		this.line = context.admissionLine(service, request.route());
		this.admitted = admitted;
		this.refused = refused;
		long leftMillis = TimeUnit.NANOSECONDS.toMillis(request.deadlineNanos() - request.request().arrivedNanos());
		this.cameBack = cameBack(context, request.request(), request.route(), leftMillis);
		this.patienceMillis = (long) (this.cameBack ? PATIENCE_AFTER_RETURN * leftMillis
				: PATIENCE * request.route().objective().toMillis());
	}

	private static boolean cameBack(GatewayContext context, CallerRequest request, Route route, long leftMillis) {
		return request.header(context.headers().lastEventId()) != null
				|| leftMillis < route.timeout().toMillis() - RETURN_MARGIN_MILLIS;
	}

	void ask() {
		if (this.line.isEmpty()) {
			this.admitted.run();
			return;
		}
		switch (this.line.get().offer(this, this.cameBack)) {
			case ADMITTED -> admit();
			case WAITING -> await();
			case REFUSED -> this.refused.run();
		}
	}

	private void admit() {
		this.holdsRoom = true;
		if (this.patience != null) {
			this.patience.cancel(false);
		}
		this.admitted.run();
	}

	private void await() {
		this.patience = this.context.loop().schedule(this::giveUp, this.patienceMillis, TimeUnit.MILLISECONDS);
	}

	private void giveUp() {
		if (this.line.orElseThrow().withdraw(this)) {
			this.refused.run();
		}
	}

	/**
	 * Notes the first event of the stream.
	 * @param millis the time since it was sent on, in milliseconds
	 */
	void firstEvent(long millis) {
		this.line.ifPresent((waiting) -> waiting.limit().firstEvent(millis, this.context.nowNanos()));
	}

	/**
	 * Notes the end of the request, however it ended.
	 */
	void end() {
		if (this.line.isEmpty()) {
			return;
		}
		AdmissionQueue<AdmissionTicket> waiting = this.line.get();
		if (!this.holdsRoom) {
			waiting.withdraw(this);
			if (this.patience != null) {
				this.patience.cancel(false);
			}
			return;
		}
		this.holdsRoom = false;
		waiting.limit().ended();
		Optional<AdmissionTicket> next = waiting.admitNext();
		while (next.isPresent()) {
			next.get().admit();
			next = waiting.admitNext();
		}
	}

}
