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
 * Orders that are given again while no answer comes.
 */
class RepeatedOrdersTests {

	private final EmbeddedChannel loop = new EmbeddedChannel();

	private final List<CompletableFuture<OrderResult>> copies = new ArrayList<>();

	private final CompletableFuture<OrderResult> result = new RepeatedOrders(new CountingEngine(),
			this.loop.eventLoop())
		.give(new RankOrder.Go(7), 1, 2)
		.toCompletableFuture();

	private void pass(long millis) {
		this.loop.advanceTimeBy(millis, TimeUnit.MILLISECONDS);
		this.loop.runScheduledPendingTasks();
	}

	@Test
	void areGivenOnceIfTheAnswerComesSoon() {
		this.copies.get(0).complete(OrderResult.ACCEPTED);
		pass(10 * RepeatedOrders.REPEAT_MILLIS);
		assertThat(this.copies).hasSize(1);
		assertThat(this.result.join()).isEqualTo(OrderResult.ACCEPTED);
	}

	@Test
	void endWithTheFirstAnswer() {
		pass(RepeatedOrders.REPEAT_MILLIS);
		this.copies.get(1).complete(OrderResult.ACCEPTED);
		assertThat(this.result.join()).isEqualTo(OrderResult.ACCEPTED);
		pass(10 * RepeatedOrders.REPEAT_MILLIS);
		assertThat(this.copies).hasSize(2);
	}

	@Test
	void areUnknownIfAnEarlierCopyMayBeWhatALaterOneIsRefusedFor() {
		pass(RepeatedOrders.REPEAT_MILLIS);
		this.copies.get(1).complete(OrderResult.REFUSED);
		assertThat(this.result.join()).isEqualTo(OrderResult.UNKNOWN);
	}

	@Test
	void areRefusedIfTheOnlyCopyIs() {
		this.copies.get(0).complete(OrderResult.REFUSED);
		assertThat(this.result.join()).isEqualTo(OrderResult.REFUSED);
	}

	@Test
	void areUnknownOnceNoCopyIsAnswered() {
		for (int repeat = 0; repeat < 10; repeat++) {
			pass(RepeatedOrders.REPEAT_MILLIS);
		}
		assertThat(this.copies).hasSize(RepeatedOrders.MOST_COPIES);
		this.copies.subList(1, RepeatedOrders.MOST_COPIES).forEach((copy) -> copy.complete(OrderResult.UNKNOWN));
		assertThat(this.result.isDone()).isFalse();
		this.copies.get(0).complete(OrderResult.UNKNOWN);
		assertThat(this.result.join()).isEqualTo(OrderResult.UNKNOWN);
	}

	/**
	 * Answers when the test says so.
	 */
	private final class CountingEngine implements RankEngine {

		@Override
		public CompletionStage<OrderResult> order(RankOrder order, long epoch, long fence) {
			CompletableFuture<OrderResult> answer = new CompletableFuture<>();
			RepeatedOrdersTests.this.copies.add(answer);
			return answer;
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
		public CompletionStage<Optional<HeldExperts>> experts() {
			throw new UnsupportedOperationException();
		}

		@Override
		public void close() {
			// There is nothing to close.
		}

	}

}
