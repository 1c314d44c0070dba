package io.bulrushrouter.gateway.forward;

import java.util.Optional;

import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

import io.bulrushrouter.gateway.upstream.LineRate;
import io.bulrushrouter.kernel.TimeSource;

/**
 * Counts malformed responses by reason and logs them at a bounded rate.
 */
final class MalformedResponses {

	private static final Logger logger = LoggerFactory.getLogger(MalformedResponses.class);

	/** Lines in a second; further responses are counted in the next line. */
	static final int MAX_LINES = 10;

	private final ForwardMetrics metrics;

	private final TimeSource clock;

	private final LineRate lines = new LineRate(MAX_LINES);

	private long unlogged;

	MalformedResponses(ForwardMetrics metrics, TimeSource clock) {
		this.metrics = metrics;
		this.clock = clock;
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
		if (!this.lines.tryLine(this.clock.nanos())) {
			this.unlogged++;
			return;
		}
		logger.warn(
				"event=malformed-response request={} upstream={} connection-requests={} reason={} unlogged={} "
						+ "detail=\"{}\"",
				identifier.orElse("-"), upstream, connectionRequests, reason, this.unlogged, detail);
		this.unlogged = 0;
	}

}
