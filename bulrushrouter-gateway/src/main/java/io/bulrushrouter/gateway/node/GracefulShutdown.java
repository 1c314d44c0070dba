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
 * answer. Then it refuses new requests, finishes those in flight, and ends within the
 * grace period.
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

	private final EventLoop loop;

	private final GatewayContext context;

	private final CallerServer callers;

	private Duration grace;

	private final CompletableFuture<Void> stopped;

	private boolean requested;

	private int polls;

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
		this.callers.close();
		poll();
	}

	private void poll() {
		if (this.context.inFlight() == 0 && (this.callers.connections() == 0 || this.polls++ > 10)) {
			end();
			return;
		}
		this.loop.schedule(this::poll, POLL_INTERVAL_MILLIS, TimeUnit.MILLISECONDS);
	}

	private void end() {
		if (!this.stopped.isDone()) {
			logger.info("event=stopped open={} connections={}", this.context.inFlight(), this.callers.connections());
			this.stopped.complete(null);
		}
	}

}
