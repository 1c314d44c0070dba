package io.bulrushrouter.ranks;

import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionStage;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;

import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

import io.bulrushrouter.experts.live.OrderResult;
import io.bulrushrouter.experts.live.RankOrder;

/**
 * Sends orders to the engine of this sidecar's rank and retries each one a few times
 * until an attempt is answered. Retries do not wait for a timeout: the group may be held
 * meanwhile, and an answer that does not arrive soon mostly never arrives. Orders are
 * idempotent, and each attempt may take effect late.
 */
final class RetryingOrderSender {

	private static final Logger logger = LoggerFactory.getLogger(RetryingOrderSender.class);

	/** Several times the response time of an engine on the same instance. */
	static final long RETRY_INTERVAL_MILLIS = 40;

	/** If a third of the attempts is lost, one order in a hundred stays unanswered. */
	static final int MAX_ATTEMPTS = 4;

	private final RankEngine engine;

	private final ScheduledExecutorService loop;

	RetryingOrderSender(RankEngine engine, ScheduledExecutorService loop) {
		this.engine = engine;
		this.loop = loop;
	}

	/**
	 * Sends an order.
	 * @param order the order
	 * @param epoch the epoch in which the order is valid
	 * @param fence the fencing token of the sender
	 * @return the result; {@link OrderResult#UNKNOWN} if no attempt was answered, or if a
	 * refusal may be due to an earlier attempt that took effect
	 */
	CompletionStage<OrderResult> send(RankOrder order, long epoch, long fence) {
		PendingOrder pending = new PendingOrder(order, epoch, fence);
		pending.sendAttempt();
		return pending.result;
	}

	/**
	 * An order and its attempts.
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
			CompletableFuture.completedStage(null)
				.thenCompose((start) -> RetryingOrderSender.this.engine.order(this.order, this.epoch, this.fence))
				.exceptionally(this::unknown)
				.thenAccept(this::handleResult);
			RetryingOrderSender.this.loop.schedule(this::sendAttempt, RETRY_INTERVAL_MILLIS, TimeUnit.MILLISECONDS);
		}

		private OrderResult unknown(Throwable error) {
			logger.error("event=order-failed epoch={} fence={} detail=\"{}\"", this.epoch, this.fence, error.toString(),
					error);
			return OrderResult.UNKNOWN;
		}

		private void handleResult(OrderResult attemptResult) {
			if (attemptResult == OrderResult.UNKNOWN) {
				this.unanswered++;
				if (this.unanswered == MAX_ATTEMPTS) {
					this.result.complete(OrderResult.UNKNOWN);
				}
				return;
			}
			boolean ambiguous = attemptResult == OrderResult.REFUSED && this.attempts > 1;
			this.result.complete(ambiguous ? OrderResult.UNKNOWN : attemptResult);
		}

	}

}
