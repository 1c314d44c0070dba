package io.bulrushrouter.gateway.upstream;

import java.net.InetSocketAddress;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.Random;
import java.util.TreeMap;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionStage;
import java.util.concurrent.TimeUnit;
import java.util.function.Supplier;

import io.netty.channel.embedded.EmbeddedChannel;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

import io.bulrushrouter.gateway.source.Feed;
import io.bulrushrouter.gateway.source.FeedFollower;
import io.bulrushrouter.gateway.source.FeedResult;
import io.bulrushrouter.gateway.source.FeedResult.Item;
import io.bulrushrouter.gateway.source.UpstreamRecord;

import static com.google.common.truth.Truth.assertWithMessage;

/**
 * Follows upstreams that leave and lapse while connections to the store go silent, are
 * cut or the store is away, in simulated time.
 */
class LostConnectionTests {

	private static final int SEEDS = 200;

	/** The users' bounds: the time to drain, and the time after a disruption. */
	private static final long DRAIN_MILLIS = 2_000;

	private static final long CONTACT_MILLIS = 3_000;

	private static final long CALL_TIMEOUT_MILLIS = 1_200;

	private static final long SWEEP_MILLIS = 500;

	private static final int UPSTREAMS = 8;

	/** The revision of a call that lists. */
	private static final long LIST = -1;

	private final EmbeddedChannel channel = new EmbeddedChannel();

	private long millis;

	private static UpstreamRecord upstream(int index, boolean leaving) {
		return new UpstreamRecord("u" + index, "service", InetSocketAddress.createUnresolved("10.0.0.1", 80 + index),
				"a", 8, leaving, 1);
	}

	private UpstreamDirectory follow(SimulatedStore store, long seed) {
		UpstreamDirectory directory = new UpstreamDirectory();
		FeedFollower.builder("upstreams", store, new DirectoryListener(directory))
			.watchTimeout(Duration.ofMillis(1_500))
			.minWatchInterval(Duration.ofMillis(300))
			.loop(this.channel.eventLoop())
			.clock(this::nanos)
			.random(new Random(seed))
			.build()
			.start();
		return directory;
	}

	private long nanos() {
		return TimeUnit.MILLISECONDS.toNanos(this.millis);
	}

	private void advance(UpstreamDirectory directory) {
		this.millis += 10;
		this.channel.advanceTimeBy(10, TimeUnit.MILLISECONDS);
		this.channel.runScheduledPendingTasks();
		if (this.millis % SWEEP_MILLIS == 0) {
			directory.expire(nanos());
		}
	}

	// Guards against requests to an upstream that left while connections were lost.
	@ParameterizedTest
	@ValueSource(strings = { "silent removed", "silent draining", "cut removed", "cut draining" })
	void sendsNothingToAnUpstreamThatLeftOnceInTouchAgain(String disruption) {
		for (int seed = 0; seed < SEEDS; seed++) {
			Random random = new Random(seed);
			this.millis = 0;
			SimulatedStore store = new SimulatedStore();
			UpstreamDirectory directory = follow(store, seed);
			long lostAt = 5_000 + 10 * random.nextInt(200);
			long leftAt = lostAt - 500 + 10 * random.nextInt(350);
			while (this.millis < leftAt + 8_000) {
				advance(directory);
				if (this.millis == lostAt) {
					store.loseConnections(disruption.startsWith("cut"));
				}
				if (this.millis == leftAt) {
					store.put(0, disruption.endsWith("draining") ? Optional.of(upstream(0, true)) : Optional.empty());
				}
				boolean bound = this.millis > Math.max(leftAt + DRAIN_MILLIS, lostAt + CONTACT_MILLIS);
				assertWithMessage("%s, seed %s: u0 at %s ms, connections lost at %s ms, left at %s ms", disruption,
						seed, this.millis, lostAt, leftAt)
					.that(bound && directory.accepts("u0"))
					.isFalse();
			}
			assertWithMessage("upstreams in the end").that(directory.ready("service")).hasSize(UPSTREAMS - 1);
		}
	}

	// Guards against dropping live upstreams whose entries lapsed in an outage.
	@ParameterizedTest
	@ValueSource(strings = { "refusing", "silent", "cut" })
	void keepsUpstreamsWhoseEntriesLapseInAnOutage(String outage) {
		for (int seed = 0; seed < SEEDS; seed++) {
			Random random = new Random(seed);
			this.millis = 0;
			SimulatedStore store = new SimulatedStore();
			UpstreamDirectory directory = follow(store, seed);
			long lostAt = 5_000 + 10 * random.nextInt(200);
			long backAt = lostAt + 2_400 + 10 * random.nextInt(400);
			while (this.millis < backAt + 8_000) {
				advance(directory);
				if (this.millis == lostAt) {
					store.outage = outage;
					store.loseConnections(!outage.equals("silent"));
				}
				for (int index = 0; index < UPSTREAMS; index++) {
					// Entries lapse one by one, and are back 1.8 s after the store.
					if (this.millis == Math.max(lostAt + 2_400, backAt - 10L * index)) {
						store.put(index, Optional.empty());
					}
					if (this.millis == backAt + 1_800) {
						store.put(index, Optional.of(upstream(index, false)));
					}
				}
				if (this.millis == backAt) {
					store.outage = "";
				}
				assertWithMessage("%s, seed %s: at %s ms, store away from %s to %s ms", outage, seed, this.millis,
						lostAt, backAt)
					.that((this.millis < 100) ? UPSTREAMS : directory.ready("service").size())
					.isEqualTo(UPSTREAMS);
			}
		}
	}

	/**
	 * A store with connections that go silent, and a client that pools them.
	 */
	private final class SimulatedStore implements Feed<UpstreamRecord> {

		private final TreeMap<String, UpstreamRecord> entries = new TreeMap<>();

		private final List<Item<UpstreamRecord>> history = new ArrayList<>();

		private final List<Watch> watches = new ArrayList<>();

		private String outage = "";

		private boolean pooledLost;

		private SimulatedStore() {
			for (int index = 0; index < UPSTREAMS; index++) {
				this.entries.put("u" + index, upstream(index, false));
			}
		}

		private void loseConnections(boolean cut) {
			this.pooledLost = !cut;
			this.watches.forEach((watch) -> watch.lose(cut));
			this.watches.clear();
		}

		private void put(int index, Optional<UpstreamRecord> value) {
			String name = "u" + index;
			value.ifPresentOrElse((record) -> this.entries.put(name, record), () -> this.entries.remove(name));
			this.history.add(new Item<>(name, value));
			List.copyOf(this.watches).forEach(Watch::answer);
		}

		@Override
		public CompletionStage<FeedResult<UpstreamRecord>> list() {
			return call(LIST, Duration.ZERO);
		}

		@Override
		public CompletionStage<FeedResult<UpstreamRecord>> watch(long revision, Duration wait) {
			return call(revision, wait);
		}

		private CompletionStage<FeedResult<UpstreamRecord>> call(long revision, Duration wait) {
			Watch watch = new Watch(revision, wait.toMillis());
			if (this.outage.equals("refusing")) {
				watch.after(10, () -> new FeedResult.Unavailable<>("refused"));
			}
			else if (this.outage.equals("cut")) {
				watch.lose(true);
			}
			else if (this.outage.equals("silent") || this.pooledLost) {
				watch.lose(false);
			}
			else {
				this.watches.add(watch);
				watch.after(wait.toMillis(), watch::current);
				if (revision < this.history.size()) {
					watch.answer();
				}
			}
			return watch.result;
		}

		@Override
		public void renewConnections() {
			this.pooledLost = false;
		}

		/**
		 * A list, or a watch that waits for changes.
		 */
		private final class Watch {

			private final CompletableFuture<FeedResult<UpstreamRecord>> result = new CompletableFuture<>();

			private final long revision;

			private final long sentMillis = LostConnectionTests.this.millis;

			private final long waitMillis;

			private boolean lost;

			private Watch(long revision, long waitMillis) {
				this.revision = revision;
				this.waitMillis = waitMillis;
			}

			private void answer() {
				after(10, this::current);
			}

			private FeedResult<UpstreamRecord> current() {
				SimulatedStore.this.watches.remove(this);
				List<Item<UpstreamRecord>> known = SimulatedStore.this.history;
				if (this.revision == LIST) {
					return new FeedResult.Listed<>(SimulatedStore.this.entries.values()
						.stream()
						.map((entry) -> new Item<>(entry.id(), Optional.of(entry)))
						.toList(), known.size(), 0);
				}
				return new FeedResult.Changed<>(List.copyOf(known.subList((int) this.revision, known.size())),
						known.size(), 0);
			}

			private void lose(boolean cut) {
				long timeoutMillis = this.sentMillis + this.waitMillis + CALL_TIMEOUT_MILLIS
						- LostConnectionTests.this.millis;
				this.lost = true;
				after(cut ? 10 : timeoutMillis, () -> {
					SimulatedStore.this.pooledLost = false;
					return new FeedResult.Unanswered<>(cut ? "cut" : "timed out");
				});
			}

			private void after(long delayMillis, Supplier<FeedResult<UpstreamRecord>> outcome) {
				boolean beforeLoss = !this.lost;
				LostConnectionTests.this.channel.eventLoop().schedule(() -> {
					if (!this.result.isDone() && (!this.lost || !beforeLoss)) {
						this.result.complete(outcome.get());
					}
				}, delayMillis, TimeUnit.MILLISECONDS);
			}

		}

	}

	/**
	 * Passes the feed on to a directory, as a gateway does.
	 */
	private final class DirectoryListener implements FeedFollower.Listener<UpstreamRecord> {

		private final UpstreamDirectory directory;

		private DirectoryListener(UpstreamDirectory directory) {
			this.directory = directory;
		}

		@Override
		public void listed(List<Item<UpstreamRecord>> items, long requestedNanos) {
			this.directory.replace(items, nanos());
		}

		@Override
		public void changed(List<Item<UpstreamRecord>> changes, long requestedNanos) {
			this.directory.change(changes, nanos());
		}

		@Override
		public void unavailable() {
			this.directory.storeLost();
		}

	}

}
