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
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.EnumSource;

import io.bulrushrouter.gateway.source.FeedResult.Item;

import static com.google.common.truth.Truth.assertThat;

/**
 * Follows a feed through lists, watches, lost history and failures.
 */
class FeedFollowerTests {

	private final EmbeddedChannel channel = new EmbeddedChannel();

	private final List<String> calls = new ArrayList<>();

	private final List<String> notifications = new ArrayList<>();

	private final Deque<CompletableFuture<FeedResult<String>>> pending = new ArrayDeque<>();

	private final FeedFollower<String> follower = FeedFollower
		.builder("test", new RecordingFeed(), new RecordingListener())
		.watchTimeout(Duration.ofSeconds(1))
		.loop(this.channel.eventLoop())
		.clock(() -> 7)
		.random(new Random(1))
		.build();

	private Runnable progress;

	private long elapsedNanos;

	private Seam failingSeam;

	private void complete(FeedResult<String> answer) {
		this.pending.poll().complete(answer);
	}

	@Test
	void listsThenWatchesFromTheRevisionOfTheList() {
		this.follower.start();
		complete(new FeedResult.Listed<>(List.of(new Item<>("a", Optional.of("1"))), 40, 0));
		complete(new FeedResult.Changed<>(List.of(new Item<>("a", Optional.empty())), 44, 0));
		assertThat(this.calls).containsExactly("list", "watch 40", "watch 44").inOrder();
		assertThat(this.notifications).containsExactly("listed [a]", "changed [a]").inOrder();
	}

	@Test
	void listsAgainWhenTheHistoryIsLost() {
		this.follower.start();
		complete(new FeedResult.Listed<>(List.of(), 40, 0));
		complete(new FeedResult.HistoryLost<>("gone"));
		assertThat(this.calls).containsExactly("list", "watch 40", "list").inOrder();
	}

	@Test
	void resumesWatchingFromTheSameRevisionAfterAFailure() {
		this.follower.start();
		complete(new FeedResult.Listed<>(List.of(), 40, 0));
		complete(new FeedResult.Unavailable<>("reset"));
		assertThat(this.calls).hasSize(2);
		this.channel.advanceTimeBy(2, TimeUnit.SECONDS);
		this.channel.runScheduledPendingTasks();
		assertThat(this.calls).containsExactly("list", "watch 40", "watch 40").inOrder();
		assertThat(this.notifications).containsExactly("listed []", "unavailable").inOrder();
	}

	@Test
	void neverGoesBackToAnOlderRevision() {
		this.follower.start();
		complete(new FeedResult.Listed<>(List.of(), 40, 0));
		complete(new FeedResult.Changed<>(List.of(), 12, 0));
		assertThat(this.calls).containsExactly("list", "watch 40", "watch 40").inOrder();
	}

	@Test
	void receivesManyChangesWithFewCalls() {
		startWithMinWatchInterval();
		complete(new FeedResult.Listed<>(List.of(), 0, 0));
		// A fleet of 100 registers within a second: a change each 10 ms.
		int received = 0;
		for (int change = 1; change <= 100; change++) {
			advance(10);
			if (!this.pending.isEmpty()) {
				List<Item<String>> changes = new ArrayList<>();
				for (int each = received; each < change; each++) {
					changes.add(new Item<>("u" + each, Optional.of("1")));
				}
				received = change;
				complete(new FeedResult.Changed<>(changes, change, 0));
			}
		}
		assertThat(this.calls.size()).isAtMost(6);
		assertThat(received).isAtLeast(70);
	}

	@Test
	void receivesASingleChangeAtOnce() {
		startWithMinWatchInterval();
		complete(new FeedResult.Listed<>(List.of(), 40, 0));
		advance(300);
		complete(new FeedResult.Changed<>(List.of(new Item<>("a", Optional.of("1"))), 44, 0));
		assertThat(this.notifications).containsExactly("listed []", "changed [a]").inOrder();
		assertThat(this.calls).containsExactly("list", "watch 40", "watch 44").inOrder();
	}

	@Test
	void listsAnewWhenAWatchAnswersFromARestoredStore() {
		this.follower.start();
		complete(new FeedResult.Listed<>(List.of(new Item<>("a", Optional.of("1"))), 40, 1));
		complete(new FeedResult.Changed<>(List.of(new Item<>("b", Optional.of("1"))), 44, 2));
		complete(new FeedResult.Listed<>(List.of(new Item<>("c", Optional.of("1"))), 41, 2));
		assertThat(this.calls).containsExactly("list", "watch 40", "list", "watch 41").inOrder();
		assertThat(this.notifications).containsExactly("listed [a]", "restored", "listed [c]").inOrder();
	}

	@Test
	void announcesARestoredStoreAlsoWhenItsHistoryIsLost() {
		this.follower.start();
		complete(new FeedResult.Listed<>(List.of(), 40, 1));
		complete(new FeedResult.HistoryLost<>("gone"));
		complete(new FeedResult.Listed<>(List.of(), 30, 2));
		assertThat(this.calls).containsExactly("list", "watch 40", "list", "watch 30").inOrder();
		assertThat(this.notifications).containsExactly("listed []", "restored", "listed []").inOrder();
	}

	@Test
	void dropsALateAnswerOfAnEarlierEra() {
		this.follower.start();
		complete(new FeedResult.Listed<>(List.of(), 40, 2));
		complete(new FeedResult.Changed<>(List.of(new Item<>("a", Optional.of("1"))), 900, 1));
		assertThat(this.notifications).containsExactly("listed []", "unavailable").inOrder();
		this.channel.advanceTimeBy(2, TimeUnit.SECONDS);
		this.channel.runScheduledPendingTasks();
		assertThat(this.calls).containsExactly("list", "watch 40", "watch 40").inOrder();
	}

	@Test
	void acceptsAnswersThatStateNoEra() {
		this.follower.start();
		complete(new FeedResult.Listed<>(List.of(), 40, 2));
		complete(new FeedResult.Changed<>(List.of(new Item<>("a", Optional.of("1"))), 41, Feed.ERA_NOT_STATED));
		assertThat(this.notifications).containsExactly("listed []", "changed [a]").inOrder();
	}

	// Guards against a follower that ends without a line in the log.
	@ParameterizedTest
	@EnumSource
	void listsAgainWhateverThrows(Seam seam) {
		this.failingSeam = seam;
		FeedCounters counters = new FeedCounters();
		FeedFollower.builder("test", new RecordingFeed(), new RecordingListener())
			.loop(this.channel.eventLoop())
			.random(new Random(1))
			.counters(counters)
			.build()
			.start();
		while (counters.errors() == 0) {
			List<Item<String>> items = List.of(new Item<>("a", Optional.of("1")));
			boolean listed = this.calls.get(this.calls.size() - 1).equals("list");
			complete(listed ? new FeedResult.Listed<>(items, 40, 1)
					: (seam == Seam.UNAVAILABLE) ? new FeedResult.Unavailable<>("reset")
							: new FeedResult.Changed<>(items, 44, (seam == Seam.RESTORED) ? 2 : 1));
		}
		this.failingSeam = null;
		this.calls.clear();
		this.pending.clear();
		this.notifications.clear();
		this.channel.advanceTimeBy(1, TimeUnit.SECONDS);
		this.channel.runScheduledPendingTasks();
		complete(new FeedResult.Listed<>(List.of(new Item<>("b", Optional.of("1"))), 50, 2));
		assertThat(this.calls).containsExactly("list", "watch 50").inOrder();
		assertThat(this.notifications).contains("listed [b]");
		assertThat(counters.errors()).isEqualTo(1);
	}

	@Test
	void listsEverLessOftenWhileTheListenerFails() {
		this.failingSeam = Seam.LISTED;
		startWithMinWatchInterval();
		for (int second = 0; second < 60; second++) {
			advance(1_000);
			while (!this.pending.isEmpty()) {
				complete(new FeedResult.Listed<>(List.of(), 40, 0));
			}
		}
		assertThat(this.calls.size()).isAtLeast(10);
		assertThat(this.calls.size()).isAtMost(40);
	}

	private void startWatching(FeedCounters counters) {
		this.channel.freezeTime();
		FeedFollower.builder("test", new RecordingFeed(), new RecordingListener())
			.watchTimeout(Duration.ofSeconds(1))
			.maxSilence(Duration.ofSeconds(2))
			.loop(this.channel.eventLoop())
			.clock(() -> this.elapsedNanos)
			.random(new Random(1))
			.counters(counters)
			.build()
			.start();
		complete(new FeedResult.Listed<>(List.of(), 40, 0));
	}

	// Guards against taking a silent connection for a store that was away.
	@Test
	void repeatsAWatchOnANewConnectionOnceItsAnswerIsOverdue() {
		FeedCounters counters = new FeedCounters();
		startWatching(counters);
		advance(1_299);
		assertThat(this.calls).containsExactly("list", "watch 40").inOrder();
		advance(1);
		assertThat(this.calls).containsExactly("list", "watch 40", "renew", "watch 40").inOrder();
		this.pending.removeLast().complete(new FeedResult.Changed<>(List.of(new Item<>("a", Optional.empty())), 44, 0));
		assertThat(this.notifications).containsExactly("listed []", "changed [a]").inOrder();
		assertThat(this.calls).hasSize(5);
		assertThat(counters.lostConnections()).isEqualTo(1);
		complete(new FeedResult.Unanswered<>("timed out"));
		assertThat(this.calls).hasSize(5);
		assertThat(this.notifications).hasSize(2);
	}

	// Guards against a long list that is read twice at once, and taken for a lost
	// connection.
	@Test
	void doesNotRepeatACallWhileItsAnswerArrives() {
		FeedCounters counters = new FeedCounters();
		startWatching(counters);
		for (int part = 0; part < 20; part++) {
			advance(290);
			this.progress.run();
		}
		assertThat(this.calls).containsExactly("list", "watch 40").inOrder();
		for (int part = 0; part < 3; part++) {
			advance(300);
		}
		assertThat(this.calls).containsExactly("list", "watch 40", "renew", "watch 40").inOrder();
		assertThat(counters.outages()).isEqualTo(0);
	}

	@Test
	void repeatsAWatchAtOnceIfItsConnectionIsCut() {
		FeedCounters counters = new FeedCounters();
		startWatching(counters);
		advance(200);
		complete(new FeedResult.Unanswered<>("closed"));
		assertThat(this.calls).containsExactly("list", "watch 40", "renew", "watch 40").inOrder();
		complete(new FeedResult.Changed<>(List.of(), 40, 0));
		assertThat(this.notifications).containsExactly("listed []", "changed []").inOrder();
		assertThat(counters.lostConnections()).isEqualTo(1);
		assertThat(counters.outages()).isEqualTo(0);
	}

	@Test
	void takesTheStoreForLostIfANewConnectionIsNotAnsweredEither() {
		FeedCounters counters = new FeedCounters();
		startWatching(counters);
		advance(1_300);
		complete(new FeedResult.Unanswered<>("timed out"));
		assertThat(this.notifications).containsExactly("listed []");
		complete(new FeedResult.Unanswered<>("timed out"));
		assertThat(this.notifications).containsExactly("listed []", "unavailable").inOrder();
		assertThat(counters.outages()).isEqualTo(1);
		advance(500);
		complete(new FeedResult.Unanswered<>("timed out"));
		assertThat(this.calls).containsExactly("list", "watch 40", "renew", "watch 40", "watch 40").inOrder();
	}

	@Test
	void takesTheStoreForPossiblyLostAfterALongSilence() {
		startWatching(new FeedCounters());
		advance(2_001);
		this.pending.removeLast().complete(new FeedResult.Changed<>(List.of(), 40, 0));
		assertThat(this.notifications).containsExactly("listed []", "unavailable", "changed []").inOrder();
	}

	@Test
	void repeatsNoFurtherWatchesWhileTheStoreIsSlow() {
		FeedCounters counters = new FeedCounters();
		startWatching(counters);
		for (int watch = 0; watch < 20; watch++) {
			advance(1_000);
			advance(600);
			complete(new FeedResult.Changed<>(List.of(), 40, 0));
			while (this.pending.size() > 1) {
				this.pending.removeFirst();
			}
		}
		assertThat(this.calls.stream().filter("renew"::equals).count()).isEqualTo(1);
		assertThat(counters.lostConnections()).isEqualTo(0);
		assertThat(this.notifications).doesNotContain("unavailable");
	}

	// Guards against asking for the same changes without end when they exceed the limit.
	@Test
	void listsAtOnceWhenTheChangesAreTooLarge() {
		FeedCounters counters = new FeedCounters();
		startWatching(counters);
		complete(new FeedResult.TooLarge<>("too large"));
		assertThat(this.calls).containsExactly("list", "watch 40", "list").inOrder();
		complete(new FeedResult.TooLarge<>("too large"));
		advance(1_000);
		complete(new FeedResult.TooLarge<>("too large"));
		complete(new FeedResult.Listed<>(List.of(new Item<>("a", Optional.of("1"))), 44, 0));
		assertThat(this.calls).containsExactly("list", "watch 40", "list", "watch 40", "list", "watch 44").inOrder();
		assertThat(this.notifications).containsExactly("listed []", "listed [a]").inOrder();
		assertThat(counters.largeAnswers()).isEqualTo(3);
		assertThat(counters.outages()).isEqualTo(0);
	}

	// Guards against a feed that stays behind because the store answers lists only.
	@Test
	void listsWithTheThirdCallAfterTwoWatchesHaveFailed() {
		startWatching(new FeedCounters());
		for (int call = 0; call < 5; call++) {
			complete(new FeedResult.Unavailable<>("status 500"));
			advance(1_000);
		}
		assertThat(this.calls).containsExactly("list", "watch 40", "watch 40", "list", "watch 40", "watch 40", "list")
			.inOrder();
		complete(new FeedResult.Listed<>(List.of(), 44, 0));
		assertThat(this.calls.get(this.calls.size() - 1)).isEqualTo("watch 44");
	}

	private void startWithMinWatchInterval() {
		this.channel.freezeTime();
		FeedFollower.builder("test", new RecordingFeed(), new RecordingListener())
			.minWatchInterval(Duration.ofMillis(300))
			.loop(this.channel.eventLoop())
			.clock(() -> this.elapsedNanos)
			.random(new Random(1))
			.build()
			.start();
	}

	private void advance(long millis) {
		this.elapsedNanos += TimeUnit.MILLISECONDS.toNanos(millis);
		this.channel.advanceTimeBy(millis, TimeUnit.MILLISECONDS);
		this.channel.runScheduledPendingTasks();
	}

	private void failAt(Seam seam) {
		if (this.failingSeam == seam) {
			throw new IllegalStateException(seam.name());
		}
	}

	private enum Seam {

		LIST, WATCH, STAGE, LISTED, CHANGED, RESTORED, UNAVAILABLE

	}

	private final class RecordingFeed implements Feed<String> {

		@Override
		public CompletionStage<FeedResult<String>> list() {
			return recordCall("list");
		}

		@Override
		public CompletionStage<FeedResult<String>> watch(long revision, Duration wait) {
			return recordCall("watch " + revision);
		}

		@Override
		public CompletionStage<FeedResult<String>> watch(long revision, Duration wait, Runnable progress) {
			FeedFollowerTests.this.progress = progress;
			return watch(revision, wait);
		}

		@Override
		public void renewConnections() {
			FeedFollowerTests.this.calls.add("renew");
		}

		private CompletionStage<FeedResult<String>> recordCall(String call) {
			FeedFollowerTests.this.calls.add(call);
			failAt(call.equals("list") ? Seam.LIST : Seam.WATCH);
			if (FeedFollowerTests.this.failingSeam == Seam.STAGE) {
				return CompletableFuture.failedStage(new IllegalStateException("stage"));
			}
			CompletableFuture<FeedResult<String>> answer = new CompletableFuture<>();
			FeedFollowerTests.this.pending.add(answer);
			return answer;
		}

	}

	private final class RecordingListener implements FeedFollower.Listener<String> {

		@Override
		public void listed(List<Item<String>> items, long requestedNanos) {
			failAt(Seam.LISTED);
			FeedFollowerTests.this.notifications.add("listed " + items.stream().map(Item::name).toList());
		}

		@Override
		public void changed(List<Item<String>> changes, long requestedNanos) {
			failAt(Seam.CHANGED);
			FeedFollowerTests.this.notifications.add("changed " + changes.stream().map(Item::name).toList());
		}

		@Override
		public void restored() {
			failAt(Seam.RESTORED);
			FeedFollowerTests.this.notifications.add("restored");
		}

		@Override
		public void unavailable() {
			failAt(Seam.UNAVAILABLE);
			FeedFollowerTests.this.notifications.add("unavailable");
		}

	}

}
