package io.bulrushrouter.ranks;

import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionStage;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;

import io.bulrushrouter.experts.live.OrderResult;
import io.bulrushrouter.experts.live.RankOrder;

/**
 * Gives orders to the engine beside this process, and gives them again while no answer
 * comes: a group may be held meanwhile, and an answer that has not come soon mostly never
 * comes. Orders are idempotent, and all copies may be carried out late.
 */
final class RepeatedOrders {

	/** Some times what an engine on the same instance needs for an answer. */
	static final long REPEAT_MILLIS = 40;

	/** With a third of the orders unanswered, one in a hundred stays so. */
	static final int MOST_COPIES = 4;

	private final RankEngine engine;

	private final ScheduledExecutorService loop;

	RepeatedOrders(RankEngine engine, ScheduledExecutorService loop) {
		this.engine = engine;
		this.loop = loop;
	}

	/**
	 * Gives an order.
	 * @param order the order
	 * @param epoch the epoch that it is for
	 * @param fence the fencing token of the duty
	 * @return what came of it; {@link OrderResult#UNKNOWN} also if a copy was refused
	 * that an earlier one may be the reason for
	 */
	CompletionStage<OrderResult> give(RankOrder order, long epoch, long fence) {
		Giving giving = new Giving(order, epoch, fence);
		giving.giveCopy();
		return giving.result;
	}

	/**
	 * One order and its copies.
	 */
	private final class Giving {

		private final RankOrder order;

		private final long epoch;

		private final long fence;

		private final CompletableFuture<OrderResult> result = new CompletableFuture<>();

		private int copies;

		private int unanswered;

		private Giving(RankOrder order, long epoch, long fence) {
			this.order = order;
			this.epoch = epoch;
			this.fence = fence;
		}

		private void giveCopy() {
			if (this.result.isDone() || this.copies == MOST_COPIES) {
				return;
			}
			this.copies++;
			RepeatedOrders.this.engine.order(this.order, this.epoch, this.fence).thenAccept(this::answered);
			RepeatedOrders.this.loop.schedule(this::giveCopy, REPEAT_MILLIS, TimeUnit.MILLISECONDS);
		}

		private void answered(OrderResult answer) {
			if (answer == OrderResult.UNKNOWN) {
				this.unanswered++;
				if (this.unanswered == MOST_COPIES) {
					this.result.complete(OrderResult.UNKNOWN);
				}
				return;
			}
			boolean ambiguous = answer == OrderResult.REFUSED && this.copies > 1;
			this.result.complete(ambiguous ? OrderResult.UNKNOWN : answer);
		}

	}

}
