package io.bulrushrouter.ranks;

import java.util.Optional;

import io.bulrushrouter.experts.live.OrderResult;
import io.bulrushrouter.experts.live.RankOrder;

/**
 * A message between the processes beside the ranks.
 */
sealed interface PeerMessage {

	/**
	 * Returns the number that ties an answer to its question.
	 * @return the number
	 */
	long id();

	/**
	 * Asks for a report.
	 *
	 * @param id the question's number
	 * @param withCounts whether the report is to hold the counts
	 */
	record ReportRequest(long id, boolean withCounts) implements PeerMessage {
	}

	/**
	 * Gives an order.
	 *
	 * @param id the question's number
	 * @param epoch the epoch that the order is for
	 * @param fence the fencing token
	 * @param order the order
	 */
	record OrderRequest(long id, long epoch, long fence, RankOrder order) implements PeerMessage {
	}

	/**
	 * Answers with a report.
	 *
	 * @param id the question's number
	 * @param report the report, or empty if the engine did not answer
	 */
	record ReportResponse(long id, Optional<RankReport> report) implements PeerMessage {
	}

	/**
	 * Answers an order.
	 *
	 * @param id the question's number
	 * @param result what came of it
	 */
	record OrderResponse(long id, OrderResult result) implements PeerMessage {
	}

}
