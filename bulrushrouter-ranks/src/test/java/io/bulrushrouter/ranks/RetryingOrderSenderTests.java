package io.bulrushrouter.ranks;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionStage;
import java.util.concurrent.TimeUnit;

import io.netty.channel.embedded.EmbeddedChannel;
import org.junit.jupiter.api.Test;

import io.bulrushrouter.experts.live.OrderResult;
import io.bulrushrouter.experts.live.RankOrder;
import io.bulrushrouter.experts.live.RankStatus;

import static com.google.common.truth.Truth.assertThat;

/**
 * Tests of orders that are retried while no answer arrives.
 */
class RetryingOrderSenderTests {

	private final EmbeddedChannel loop = new EmbeddedChannel();

	private final List<CompletableFuture<OrderResult>> attempts = new ArrayList<>();

	private final CompletableFuture<OrderResult> result = new RetryingOrderSender(new ManualEngine(),
			this.loop.eventLoop())
		.send(new RankOrder.Go(7), 1, 2)
		.toCompletableFuture();

	private boolean failing;

	private void advance(long millis) {
		this.loop.advanceTimeBy(millis, TimeUnit.MILLISECONDS);
		this.loop.runScheduledPendingTasks();
	}

	@Test
	void sendsOnceIfTheResultArrivesInTime() {
		this.attempts.get(0).complete(OrderResult.ACCEPTED);
		advance(10 * RetryingOrderSender.RETRY_INTERVAL_MILLIS);
		assertThat(this.attempts).hasSize(1);
		assertThat(this.result.join()).isEqualTo(OrderResult.ACCEPTED);
	}

	@Test
	void completesWithTheFirstResult() {
		advance(RetryingOrderSender.RETRY_INTERVAL_MILLIS);
		this.attempts.get(1).complete(OrderResult.ACCEPTED);
		assertThat(this.result.join()).isEqualTo(OrderResult.ACCEPTED);
		advance(10 * RetryingOrderSender.RETRY_INTERVAL_MILLIS);
		assertThat(this.attempts).hasSize(2);
	}

	@Test
	void returnsUnknownIfARefusalMayBeDueToAnEarlierAttempt() {
		advance(RetryingOrderSender.RETRY_INTERVAL_MILLIS);
		this.attempts.get(1).complete(OrderResult.REFUSED);
		assertThat(this.result.join()).isEqualTo(OrderResult.UNKNOWN);
	}

	@Test
	void returnsRefusedIfTheOnlyAttemptIsRefused() {
		this.attempts.get(0).complete(OrderResult.REFUSED);
		assertThat(this.result.join()).isEqualTo(OrderResult.REFUSED);
	}

	@Test
	void returnsUnknownOnceAllAttemptsAreUnanswered() {
		for (int interval = 0; interval < 10; interval++) {
			advance(RetryingOrderSender.RETRY_INTERVAL_MILLIS);
		}
		assertThat(this.attempts).hasSize(RetryingOrderSender.MAX_ATTEMPTS);
		this.attempts.subList(1, RetryingOrderSender.MAX_ATTEMPTS)
			.forEach((attempt) -> attempt.complete(OrderResult.UNKNOWN));
		assertThat(this.result.isDone()).isFalse();
		this.attempts.get(0).complete(OrderResult.UNKNOWN);
		assertThat(this.result.join()).isEqualTo(OrderResult.UNKNOWN);
	}

	// Guards against an order without an end, for which its leader would wait forever.
	@Test
	void returnsUnknownIfAttemptsEndWithAnError() {
		this.failing = true;
		for (int interval = 0; interval < 10; interval++) {
			advance(RetryingOrderSender.RETRY_INTERVAL_MILLIS);
		}
		this.attempts.get(0).completeExceptionally(new IllegalStateException("a defect"));
		assertThat(this.result.getNow(null)).isEqualTo(OrderResult.UNKNOWN);
	}

	/**
	 * Leaves each order pending until the test completes it.
	 */
	private final class ManualEngine implements RankEngine {

		@Override
		public CompletionStage<OrderResult> order(RankOrder order, long epoch, long fence) {
			CompletableFuture<OrderResult> attempt = new CompletableFuture<>();
			RetryingOrderSenderTests.this.attempts.add(attempt);
			if (RetryingOrderSenderTests.this.failing) {
				throw new IllegalStateException("a defect");
			}
			return attempt;
		}

		@Override
		public CompletionStage<Optional<RankStatus>> status() {
			throw new UnsupportedOperationException();
		}

		@Override
		public CompletionStage<Optional<long[]>> counts() {
			throw new UnsupportedOperationException();
		}

		@Override
		public CompletionStage<Optional<LocalExperts>> experts() {
			throw new UnsupportedOperationException();
		}

		@Override
		public void close() {
			// Nothing to close.
		}

	}

}
