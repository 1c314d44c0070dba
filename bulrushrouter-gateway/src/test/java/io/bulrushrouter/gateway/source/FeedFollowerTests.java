package io.bulrushrouter.gateway.source;

import java.time.Duration;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.List;
import java.util.Optional;
import java.util.Random;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionStage;
import java.util.concurrent.TimeUnit;

import io.netty.channel.embedded.EmbeddedChannel;
import org.junit.jupiter.api.Test;

import io.bulrushrouter.gateway.source.FeedAnswer.Item;

import static com.google.common.truth.Truth.assertThat;

/**
 * Following a feed over lists, watches and failures.
 */
class FeedFollowerTests {

	private final EmbeddedChannel channel = new EmbeddedChannel();

	private final List<String> calls = new ArrayList<>();

	private final List<String> heard = new ArrayList<>();

	private final Deque<CompletableFuture<FeedAnswer<String>>> open = new ArrayDeque<>();

	private final FeedFollower<String> follower = FeedFollower
		.builder("test", new RecordedFeed(), new RecordedListener())
		.wait(Duration.ofSeconds(1))
		.loop(this.channel.eventLoop())
		.clock(() -> 7)
		.random(new Random(1))
		.build();

	private void answer(FeedAnswer<String> answer) {
		this.open.poll().complete(answer);
	}

	@Test
	void listsThenWatchesFromTheRevisionOfTheList() {
		this.follower.start();
		answer(new FeedAnswer.Listed<>(List.of(new Item<>("a", Optional.of("1"))), 40));
		answer(new FeedAnswer.Changed<>(List.of(new Item<>("a", Optional.empty())), 44));
		assertThat(this.calls).containsExactly("list", "watch 40", "watch 44").inOrder();
		assertThat(this.heard).containsExactly("listed [a]", "changed [a]").inOrder();
	}

	@Test
	void listsAgainWhenTheHistoryIsLost() {
		this.follower.start();
		answer(new FeedAnswer.Listed<>(List.of(), 40));
		answer(new FeedAnswer.HistoryLost<>());
		assertThat(this.calls).containsExactly("list", "watch 40", "list").inOrder();
	}

	@Test
	void watchesOnFromTheSameRevisionAfterAFailure() {
		this.follower.start();
		answer(new FeedAnswer.Listed<>(List.of(), 40));
		answer(new FeedAnswer.Unavailable<>("reset"));
		assertThat(this.calls).hasSize(2);
		this.channel.advanceTimeBy(2, TimeUnit.SECONDS);
		this.channel.runScheduledPendingTasks();
		assertThat(this.calls).containsExactly("list", "watch 40", "watch 40").inOrder();
		assertThat(this.heard).containsExactly("listed []", "unavailable").inOrder();
	}

	@Test
	void neverGoesBackToAnOlderRevision() {
		this.follower.start();
		answer(new FeedAnswer.Listed<>(List.of(), 40));
		answer(new FeedAnswer.Changed<>(List.of(), 12));
		assertThat(this.calls).containsExactly("list", "watch 40", "watch 40").inOrder();
	}

	private final class RecordedFeed implements Feed<String> {

		@Override
		public CompletionStage<FeedAnswer<String>> list() {
			return ask("list");
		}

		@Override
		public CompletionStage<FeedAnswer<String>> watch(long revision, Duration wait) {
			return ask("watch " + revision);
		}

		private CompletionStage<FeedAnswer<String>> ask(String call) {
			FeedFollowerTests.this.calls.add(call);
			CompletableFuture<FeedAnswer<String>> answer = new CompletableFuture<>();
			FeedFollowerTests.this.open.add(answer);
			return answer;
		}

	}

	private final class RecordedListener implements FeedFollower.Listener<String> {

		@Override
		public void listed(List<Item<String>> items, long askedNanos) {
			FeedFollowerTests.this.heard.add("listed " + items.stream().map(Item::name).toList());
		}

		@Override
		public void changed(List<Item<String>> changes, long askedNanos) {
			FeedFollowerTests.this.heard.add("changed " + changes.stream().map(Item::name).toList());
		}

		@Override
		public void unavailable() {
			FeedFollowerTests.this.heard.add("unavailable");
		}

	}

}
