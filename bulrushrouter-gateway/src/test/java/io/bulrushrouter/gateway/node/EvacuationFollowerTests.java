package io.bulrushrouter.gateway.node;

import java.net.InetSocketAddress;
import java.time.Duration;
import java.util.Arrays;
import java.util.List;
import java.util.Optional;
import java.util.Random;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionStage;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;

import io.netty.channel.embedded.EmbeddedChannel;
import org.junit.jupiter.api.Test;

import io.bulrushrouter.gateway.source.Evacuation;
import io.bulrushrouter.gateway.source.Feed;
import io.bulrushrouter.gateway.source.FeedCounters;
import io.bulrushrouter.gateway.source.FeedResult;
import io.bulrushrouter.gateway.source.FeedResult.Item;
import io.bulrushrouter.gateway.source.UpstreamRecord;
import io.bulrushrouter.gateway.upstream.EvacuatedDataCentres;
import io.bulrushrouter.gateway.upstream.UpstreamDirectory;

import static com.google.common.truth.Truth.assertThat;

/**
 * What the listener of the evacuations makes of answers of the store for the choice of
 * upstreams: one each in the data centres a, b and c.
 */
class EvacuationFollowerTests {

	private static final long SECOND = TimeUnit.SECONDS.toNanos(1);

	private final EvacuatedDataCentres evacuated = EvacuatedDataCentres.ofUnknown();

	private final UpstreamDirectory directory = new UpstreamDirectory(this.evacuated);

	private long nowNanos;

	private final EvacuationFollower.EvacuationListener listener = new EvacuationFollower.EvacuationListener(
			this.evacuated, () -> this.nowNanos);

	EvacuationFollowerTests() {
		this.directory.replace(List.of(upstream("a"), upstream("b"), upstream("c")), 0);
	}

	private static Item<UpstreamRecord> upstream(String dataCentre) {
		return new Item<>(dataCentre, Optional.of(new UpstreamRecord(dataCentre, "service",
				InetSocketAddress.createUnresolved("10.0.0.1", 80), dataCentre, 8, false, 0)));
	}

	private void list(String... dataCentres) {
		this.listener.listed(Arrays.stream(dataCentres).map(EvacuationFollowerTests::begun).toList(), 0);
	}

	private void change(Item<Evacuation> change) {
		this.listener.changed(List.of(change), 0);
	}

	private static Item<Evacuation> begun(String dataCentre) {
		return new Item<>(dataCentre, Optional.of(new Evacuation(dataCentre)));
	}

	private static Item<Evacuation> ended(String dataCentre) {
		return new Item<>(dataCentre, Optional.empty());
	}

	private List<String> ready() {
		this.directory.expire(this.nowNanos);
		return this.directory.ready("service").stream().map(UpstreamRecord::id).toList();
	}

	@Test
	void servesNothingBeforeTheEvacuationsHaveBeenListed() {
		assertThat(this.directory.known()).isFalse();
		list("b");
		assertThat(this.directory.known()).isTrue();
		assertThat(ready()).containsExactly("a", "c");
	}

	@Test
	void endsOneOfTwoOverlappingEvacuationsWithoutTheOther() {
		list();
		assertThat(ready()).containsExactly("a", "b", "c");
		change(begun("a"));
		change(begun("b"));
		assertThat(ready()).containsExactly("c");
		change(ended("a"));
		assertThat(ready()).containsExactly("a", "c");
		assertThat(this.directory.accepts("b")).isFalse();
		assertThat(this.directory.identifiers()).contains("b");
	}

	@Test
	void leavesNoUpstreamIfAllDataCentresAreEvacuated() {
		list("a", "b", "c");
		assertThat(ready()).isEmpty();
	}

	@Test
	void keepsWhatItKnowsWhileTheStoreIsUnavailable() {
		list("b");
		this.listener.unavailable();
		this.nowNanos = 600 * SECOND;
		assertThat(ready()).containsExactly("a", "c");
	}

	@Test
	void keepsAnEvacuationThatARestoredStoreLacksUntilItIsWrittenAgain() {
		list("b");
		this.listener.restored();
		list();
		this.nowNanos = 2 * SECOND;
		assertThat(ready()).containsExactly("a", "c");
		change(begun("b"));
		this.nowNanos = 60 * SECOND;
		assertThat(ready()).containsExactly("a", "c");
	}

	@Test
	void acceptsTheEndOfAnEvacuationThatIsNotWrittenAgain() {
		list("b");
		this.listener.restored();
		list();
		// A second listing in the meantime, after a lost history, ends nothing early.
		list();
		assertThat(ready()).containsExactly("a", "c");
		this.nowNanos = 3 * SECOND;
		assertThat(ready()).containsExactly("a", "b", "c");
	}

	@Test
	void takesAMissingEvacuationForEndedIfTheStoreWasNotRestored() {
		list("b");
		list();
		assertThat(ready()).containsExactly("a", "b", "c");
	}

	@Test
	void waitsForAtMostThreeSecondsInAWatch() {
		assertThat(EvacuationFollower.watchTimeout(Duration.ofSeconds(60))).isEqualTo(Duration.ofSeconds(3));
	}

	@Test
	void learnsInTimeOfAnEvacuationAlthoughAConnectionIsLostAndTheStoreIsSlow() {
		EmbeddedChannel channel = new EmbeddedChannel();
		channel.freezeTime();
		EvacuatedDataCentres learned = EvacuatedDataCentres.ofUnknown();
		try (EvacuationFollower follower = new EvacuationFollower(channel.eventLoop(), new Random(1),
				new LostThenSlowFeed(channel.eventLoop()), learned, Optional.of(Duration.ofSeconds(5)),
				new FeedCounters())) {
			follower.start();
			int millis = 0;
			while (!learned.contains("b")) {
				assertThat(millis).isLessThan(5_000);
				millis += 10;
				channel.advanceTimeBy(10, TimeUnit.MILLISECONDS);
				channel.runScheduledPendingTasks();
			}
		}
	}

	// The first watch is never answered; its call times out 1.2 s after its wait. The
	// next one takes as long as a call may.
	private static final class LostThenSlowFeed implements Feed<Evacuation> {

		private static final long CALL_TIMEOUT_MILLIS = 1_200;

		private final ScheduledExecutorService loop;

		private int watches;

		private LostThenSlowFeed(ScheduledExecutorService loop) {
			this.loop = loop;
		}

		@Override
		public CompletionStage<FeedResult<Evacuation>> list() {
			return CompletableFuture.completedFuture(new FeedResult.Listed<>(List.of(), 1, 0));
		}

		@Override
		public CompletionStage<FeedResult<Evacuation>> watch(long revision, Duration wait) {
			CompletableFuture<FeedResult<Evacuation>> answer = new CompletableFuture<>();
			boolean lost = this.watches++ == 0;
			FeedResult<Evacuation> result = lost ? new FeedResult.Unavailable<>("timeout")
					: new FeedResult.Changed<>(List.of(begun("b")), 2, 0);
			this.loop.schedule(() -> answer.complete(result), CALL_TIMEOUT_MILLIS + (lost ? wait.toMillis() : 0),
					TimeUnit.MILLISECONDS);
			return answer;
		}

	}

}
