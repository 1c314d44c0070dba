package io.bulrushrouter.gateway.node;

import java.time.Duration;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;

import io.netty.channel.EventLoop;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

import io.bulrushrouter.gateway.forward.CallerServer;
import io.bulrushrouter.gateway.forward.GatewayContext;

/**
 * Graceful shutdown of an entry. The entry reports not ready at once but serves requests
 * until callers have moved to other entries, and closes each connection after its next
 * answer behind which no request waits. Then it refuses new requests, also those that
 * wait, finishes those in flight, and ends within the grace period.
 */
final class GracefulShutdown {

	private static final Logger logger = LoggerFactory.getLogger(GracefulShutdown.class);

	/**
	 * Time during which requests are still served after the shutdown began. The readiness
	 * check removes an instance after two failures, one second apart.
	 */
	private static final long READINESS_DELAY_MILLIS = 2_600;

	/** Margin before the end of the grace period. */
	private static final long GRACE_MARGIN_MILLIS = 350;

	private static final long POLL_INTERVAL_MILLIS = 100;

	/** Polls after which connections that are idle no longer delay the end. */
	private static final int MAX_IDLE_POLLS = 10;

	/**
	 * Polls after which the server stops listening even if callers still connect. Those
	 * that the operating system has accepted for it would be reset.
	 */
	private static final int MAX_LISTENING_POLLS = 10;

	private final EventLoop loop;

	private final GatewayContext context;

	private final CallerServer callers;

	private Duration grace;

	private final CompletableFuture<Void> stopped;

	private boolean requested;

	private boolean listening = true;

	private long acceptedBefore;

	private int listeningPolls;

	private int idlePolls;

	GracefulShutdown(EventLoop loop, GatewayContext context, CallerServer callers, Duration grace,
			CompletableFuture<Void> stopped) {
		this.loop = loop;
		this.context = context;
		this.callers = callers;
		this.grace = grace;
		this.stopped = stopped;
	}

	boolean requested() {
		return this.requested;
	}

	void grace(Duration grace) {
		this.grace = grace;
	}

	void start() {
		if (this.requested) {
			return;
		}
		this.requested = true;
		logger.info("event=stopping open={} grace-ms={}", this.context.inFlight(), this.grace.toMillis());
		this.context.drain();
		this.loop.schedule(this::refuse, READINESS_DELAY_MILLIS, TimeUnit.MILLISECONDS);
		this.loop.schedule(this::end, this.grace.toMillis() - GRACE_MARGIN_MILLIS, TimeUnit.MILLISECONDS);
	}

	private void refuse() {
		this.context.refuseRequests();
		this.acceptedBefore = this.callers.accepted();
		this.loop.schedule(this::poll, POLL_INTERVAL_MILLIS, TimeUnit.MILLISECONDS);
	}

	private void poll() {
		if (this.listening) {
			stopListeningOnceQuiet();
		}
		else if (finished()) {
			end();
			return;
		}
		this.loop.schedule(this::poll, POLL_INTERVAL_MILLIS, TimeUnit.MILLISECONDS);
	}

	// Callers that still connect are refused with an answer until an interval passes in
	// which none did.
	private void stopListeningOnceQuiet() {
		long accepted = this.callers.accepted();
		if (accepted == this.acceptedBefore || ++this.listeningPolls >= MAX_LISTENING_POLLS) {
			this.callers.close();
			this.listening = false;
		}
		this.acceptedBefore = accepted;
	}

	private boolean finished() {
		if (this.context.inFlight() > 0 || this.callers.busy()) {
			return false;
		}
		return this.callers.connections() == 0 || this.idlePolls++ > MAX_IDLE_POLLS;
	}

	private void end() {
		if (!this.stopped.isDone()) {
			logger.info("event=stopped open={} connections={}", this.context.inFlight(), this.callers.connections());
			this.stopped.complete(null);
		}
	}

}
