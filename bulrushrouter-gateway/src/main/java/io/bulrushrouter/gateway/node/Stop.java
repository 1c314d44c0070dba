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
 * A planned stop: not ready at once; requests are still served until callers have gone
 * elsewhere, each with the last answer of its connection; then what is in flight is
 * finished and the process ends within its grace.
 */
final class Stop {

	private static final Logger logger = LoggerFactory.getLogger(Stop.class);

	/** The readiness check takes an instance out after two misses, a second apart. */
	private static final long SERVING_MILLIS = 2_600;

	/** Kept before the end of the grace. */
	private static final long MARGIN_MILLIS = 350;

	private static final long LOOK_MILLIS = 100;

	private final EventLoop loop;

	private final GatewayContext context;

	private final CallerServer callers;

	private Duration grace;

	private final CompletableFuture<Void> stopped;

	private boolean asked;

	private int looks;

	Stop(EventLoop loop, GatewayContext context, CallerServer callers, Duration grace,
			CompletableFuture<Void> stopped) {
		this.loop = loop;
		this.context = context;
		this.callers = callers;
		this.grace = grace;
		this.stopped = stopped;
	}

	boolean asked() {
		return this.asked;
	}

	void grace(Duration grace) {
		this.grace = grace;
	}

	void ask() {
		if (this.asked) {
			return;
		}
		this.asked = true;
		logger.info("event=stopping open={} grace-ms={}", this.context.inFlight(), this.grace.toMillis());
		this.context.drain();
		this.loop.schedule(this::refuse, SERVING_MILLIS, TimeUnit.MILLISECONDS);
		this.loop.schedule(this::end, this.grace.toMillis() - MARGIN_MILLIS, TimeUnit.MILLISECONDS);
	}

	private void refuse() {
		this.context.refuseRequests();
		this.callers.close();
		look();
	}

	private void look() {
		if (this.context.inFlight() == 0 && (this.callers.connections() == 0 || this.looks++ > 10)) {
			end();
			return;
		}
		this.loop.schedule(this::look, LOOK_MILLIS, TimeUnit.MILLISECONDS);
	}

	private void end() {
		if (!this.stopped.isDone()) {
			logger.info("event=stopped open={} connections={}", this.context.inFlight(), this.callers.connections());
			this.stopped.complete(null);
		}
	}

}
