package io.bulrushrouter.ranks;

import java.util.Optional;

import io.bulrushrouter.experts.live.OrderResult;
import io.bulrushrouter.experts.live.RankOrder;

/**
 * A message between the sidecars of two ranks.
 */
sealed interface PeerMessage {

	/**
	 * Returns the identifier that correlates a response with its request.
	 * @return the identifier
	 */
	long id();

	/**
	 * Requests a report.
	 *
	 * @param id the identifier of the request
	 * @param withCounts whether the report includes the expert counts
	 */
	record ReportRequest(long id, boolean withCounts) implements PeerMessage {
	}

	/**
	 * Requests the execution of an order.
	 *
	 * @param id the identifier of the request
	 * @param epoch the epoch in which the order is valid
	 * @param fence the fencing token
	 * @param order the order
	 */
	record OrderRequest(long id, long epoch, long fence, RankOrder order) implements PeerMessage {
	}

	/**
	 * Responds with a report.
	 *
	 * @param id the identifier of the request
	 * @param report the report, or empty if the engine did not answer or is in no group
	 */
	record ReportResponse(long id, Optional<RankReport> report) implements PeerMessage {
	}

	/**
	 * Responds with the result of an order.
	 *
	 * @param id the identifier of the request
	 * @param result the result
	 */
	record OrderResponse(long id, OrderResult result) implements PeerMessage {
	}

}
