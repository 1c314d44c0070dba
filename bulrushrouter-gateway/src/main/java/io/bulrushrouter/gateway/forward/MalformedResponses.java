package io.bulrushrouter.gateway.forward;

import java.util.Optional;
import java.util.concurrent.TimeUnit;

import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

import io.bulrushrouter.kernel.TimeSource;

/**
 * Counts malformed responses by reason and logs them at a bounded rate.
 */
final class MalformedResponses {

	private static final Logger logger = LoggerFactory.getLogger(MalformedResponses.class);

	/** Lines in one interval; further responses are counted in the next line. */
	static final int MAX_LINES = 10;

	private static final long INTERVAL_NANOS = TimeUnit.SECONDS.toNanos(1);

	private final ForwardMetrics metrics;

	private final TimeSource clock;

	private long intervalStartNanos;

	private int lines;

	private long unlogged;

	MalformedResponses(ForwardMetrics metrics, TimeSource clock) {
		this.metrics = metrics;
		this.clock = clock;
		this.intervalStartNanos = clock.nanos();
	}

	/**
	 * Records a malformed response.
	 * @param reason a short name of what is malformed
	 * @param detail a description
	 * @param upstream the upstream that sent it
	 * @param identifier the identifier of the request, or empty
	 * @param connectionRequests the number of the request on its connection
	 */
	void record(String reason, String detail, String upstream, Optional<String> identifier, int connectionRequests) {
		this.metrics.countMalformedResponse(reason);
		if (!mayLog()) {
			this.unlogged++;
			return;
		}
		logger.warn(
				"event=malformed-response request={} upstream={} connection-requests={} reason={} unlogged={} "
						+ "detail=\"{}\"",
				identifier.orElse("-"), upstream, connectionRequests, reason, this.unlogged, detail);
		this.unlogged = 0;
	}

	private boolean mayLog() {
		long nowNanos = this.clock.nanos();
		if (nowNanos - this.intervalStartNanos >= INTERVAL_NANOS) {
			this.intervalStartNanos = nowNanos;
			this.lines = 0;
		}
		return ++this.lines <= MAX_LINES;
	}

}
