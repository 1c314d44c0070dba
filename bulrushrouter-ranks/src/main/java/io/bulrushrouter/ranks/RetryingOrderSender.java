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
final class RetryingOrderSender {

	/** Some times what an engine on the same instance needs for an answer. */
	static final long RETRY_INTERVAL_MILLIS = 40;

	/** With a third of the orders unanswered, one in a hundred stays so. */
	static final int MAX_ATTEMPTS = 4;

	private final RankEngine engine;

	private final ScheduledExecutorService loop;

	RetryingOrderSender(RankEngine engine, ScheduledExecutorService loop) {
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
	CompletionStage<OrderResult> send(RankOrder order, long epoch, long fence) {
		PendingOrder giving = new PendingOrder(order, epoch, fence);
		giving.sendAttempt();
		return giving.result;
	}

	/**
	 * One order and its copies.
	 */
	private final class PendingOrder {

		private final RankOrder order;

		private final long epoch;

		private final long fence;

		private final CompletableFuture<OrderResult> result = new CompletableFuture<>();

		private int attempts;

		private int unanswered;

		private PendingOrder(RankOrder order, long epoch, long fence) {
			this.order = order;
			this.epoch = epoch;
			this.fence = fence;
		}

		private void sendAttempt() {
			if (this.result.isDone() || this.attempts == MAX_ATTEMPTS) {
				return;
			}
			this.attempts++;
			RetryingOrderSender.this.engine.order(this.order, this.epoch, this.fence).thenAccept(this::handleResult);
			RetryingOrderSender.this.loop.schedule(this::sendAttempt, RETRY_INTERVAL_MILLIS, TimeUnit.MILLISECONDS);
		}

		private void handleResult(OrderResult answer) {
			if (answer == OrderResult.UNKNOWN) {
				this.unanswered++;
				if (this.unanswered == MAX_ATTEMPTS) {
					this.result.complete(OrderResult.UNKNOWN);
				}
				return;
			}
			boolean ambiguous = answer == OrderResult.REFUSED && this.attempts > 1;
			this.result.complete(ambiguous ? OrderResult.UNKNOWN : answer);
		}

	}

}
