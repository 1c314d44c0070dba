package io.bulrushrouter.ranks;

import java.util.Optional;
import java.util.concurrent.CompletionStage;

import io.bulrushrouter.experts.live.OrderResult;
import io.bulrushrouter.experts.live.RankOrder;
import io.bulrushrouter.experts.live.RankStatus;

/**
 * The engine of one rank. The stages never fail and end on the event loop. Asking the
 * engine of another instance costs more than asking the process beside it.
 */
public interface RankEngine extends AutoCloseable {

	/**
	 * Asks for the status.
	 * @return the status, or empty if there was no answer or the engine is in no group
	 */
	CompletionStage<Optional<RankStatus>> status();

	/**
	 * Asks how often each expert was chosen since the rank started.
	 * @return the counts by set and expert, or empty if there was no answer
	 */
	CompletionStage<Optional<long[]>> counts();

	/**
	 * Asks for the experts of the map in use.
	 * @return this rank's experts by set, or empty if there was no answer
	 */
	CompletionStage<Optional<LocalExperts>> experts();

	/**
	 * Gives an order.
	 * @param order the order
	 * @param epoch the epoch that it is for
	 * @param fence the fencing token of the duty
	 * @return what came of it
	 */
	CompletionStage<OrderResult> order(RankOrder order, long epoch, long fence);

	@Override
	void close();

	/**
	 * The experts that a rank holds.
	 *
	 * @param version the map in use
	 * @param experts the experts by set
	 */
	record LocalExperts(long version, int[][] experts) {
	}

}
