package io.bulrushrouter.ranks;

import java.util.Optional;
import java.util.concurrent.CompletionStage;

import io.bulrushrouter.experts.live.OrderResult;
import io.bulrushrouter.experts.live.RankOrder;
import io.bulrushrouter.experts.live.RankStatus;

/**
 * The engine of one rank. The returned stages never fail and complete on the event loop.
 * A request to the engine of another instance costs more than a request to its sidecar.
 */
public interface RankEngine extends AutoCloseable {

	/**
	 * Requests the status of the rank.
	 * @return the status, or empty if the engine did not answer or is in no group
	 */
	CompletionStage<Optional<RankStatus>> status();

	/**
	 * Requests how often each expert was chosen since the rank started.
	 * @return the counts by set and expert, or empty if the engine did not answer
	 */
	CompletionStage<Optional<long[]>> counts();

	/**
	 * Requests the experts that the map in use places on this rank.
	 * @return the experts by set, or empty if the engine did not answer
	 */
	CompletionStage<Optional<LocalExperts>> experts();

	/**
	 * Sends an order.
	 * @param order the order
	 * @param epoch the epoch in which the order is valid
	 * @param fence the fencing token of the sender
	 * @return the result
	 */
	CompletionStage<OrderResult> order(RankOrder order, long epoch, long fence);

	@Override
	void close();

	/**
	 * The experts that are placed on a rank.
	 *
	 * @param version the version of the map in use
	 * @param experts the experts by set
	 */
	record LocalExperts(long version, int[][] experts) {
	}

}
