package io.bulrushrouter.ranks;

import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.Random;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionStage;
import java.util.concurrent.ExecutionException;
import java.util.concurrent.TimeUnit;

import io.netty.channel.EventLoopGroup;
import org.junit.jupiter.api.Assertions;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

import io.bulrushrouter.gateway.config.Access;
import io.bulrushrouter.gateway.config.CallerLimits;
import io.bulrushrouter.gateway.config.EngineSpec;
import io.bulrushrouter.gateway.config.ExpertSpec;
import io.bulrushrouter.gateway.config.GatewayConfiguration;
import io.bulrushrouter.gateway.config.ServiceSpec;
import io.bulrushrouter.gateway.source.CrashReportStore;
import io.bulrushrouter.gateway.source.EntryRegistry;
import io.bulrushrouter.gateway.source.Evacuation;
import io.bulrushrouter.gateway.source.Feed;
import io.bulrushrouter.gateway.source.FeedResult;
import io.bulrushrouter.gateway.source.FleetSource;
import io.bulrushrouter.gateway.source.UpstreamRecord;
import io.bulrushrouter.kernel.plugin.Plugin;
import io.bulrushrouter.kernel.plugin.PluginRegistry;

import static com.google.common.truth.Truth.assertThat;

/**
 * Tests of the sidecars of a group, which communicate over loopback.
 */
class RankSidecarTests {

	private static final int RANKS = 3;

	/** So many that the leader reaches most of them through relays. */
	private static final int MANY_RANKS = 20;

	private static int freePort() throws Exception {
		try (ServerSocket socket = new ServerSocket(0, 1, InetAddress.getByName("127.0.0.1"))) {
			return socket.getLocalPort();
		}
	}

	private static String address(int rank) {
		return "127.0.0." + (rank + 1);
	}

	@ParameterizedTest
	@ValueSource(ints = { Integer.MAX_VALUE, 7, 3 })
	void balanceAHotExpertEvenIfOrdersGoUnanswered(int unansweredInterval) throws Exception {
		FakeGroup group = new FakeGroup(RANKS, unansweredInterval);
		try (Sidecars sidecars = new Sidecars(group)) {
			group.switchedTwice().get(60, TimeUnit.SECONDS);
			assertThat(group.violation()).isEqualTo(Optional.empty());
		}
	}

	@ParameterizedTest
	@ValueSource(ints = { Integer.MAX_VALUE, 7 })
	void balanceALargeGroupThroughRelays(int unansweredInterval) throws Exception {
		FakeGroup group = new FakeGroup(MANY_RANKS, unansweredInterval);
		try (Sidecars sidecars = new Sidecars(group, MANY_RANKS)) {
			group.switchedTwice().get(60, TimeUnit.SECONDS);
			assertThat(group.violation()).isEqualTo(Optional.empty());
		}
	}

	@Test
	void balanceALargeGroupWhileTheLastSidecarIsDown() throws Exception {
		FakeGroup group = new FakeGroup(MANY_RANKS, Integer.MAX_VALUE);
		try (Sidecars sidecars = new Sidecars(group, MANY_RANKS, MANY_RANKS - 1)) {
			group.switchedTwice().get(60, TimeUnit.SECONDS);
			assertThat(group.violation()).isEqualTo(Optional.empty());
		}
	}

	@ParameterizedTest
	@ValueSource(ints = { 1, 7 })
	void releaseALargeGroupThatIsHeldWhenASidecarFreezes(int frozen) throws Exception {
		FakeGroup group = new FakeGroup(MANY_RANKS, Integer.MAX_VALUE);
		group.freezeAtHold(frozen);
		try (Sidecars sidecars = new Sidecars(group, MANY_RANKS)) {
			group.resumed().get(60, TimeUnit.SECONDS);
			group.thaw();
			group.switchedTwice().get(60, TimeUnit.SECONDS);
			assertThat(group.violation()).isEqualTo(Optional.empty());
		}
	}

	@Test
	void continueBalancingAfterAnEngineError() throws Exception {
		FakeGroup group = new FakeGroup(RANKS, Integer.MAX_VALUE);
		group.failStatus(20);
		try (Sidecars sidecars = new Sidecars(group)) {
			group.switchedTwice().get(60, TimeUnit.SECONDS);
			assertThat(group.violation()).isEqualTo(Optional.empty());
		}
	}

	@ParameterizedTest
	@ValueSource(ints = { 0, 1, 2 })
	void releaseAGroupThatIsHeldWhenASidecarFreezes(int frozen) throws Exception {
		FakeGroup group = new FakeGroup(RANKS, Integer.MAX_VALUE);
		group.freezeAtHold(frozen);
		try (Sidecars sidecars = new Sidecars(group)) {
			group.resumed().get(60, TimeUnit.SECONDS);
			group.thaw();
			group.switchedTwice().get(60, TimeUnit.SECONDS);
			assertThat(group.violation()).isEqualTo(Optional.empty());
		}
	}

	@ParameterizedTest
	@ValueSource(ints = { RANKS, MANY_RANKS })
	void releaseAGroupThatIsHeldWhenTheInstanceOfItsLeaderIsSuspended(int ranks) throws Exception {
		FakeGroup group = new FakeGroup(ranks, Integer.MAX_VALUE);
		group.suspendInstanceAtHold(0);
		try (Sidecars sidecars = new Sidecars(group, ranks)) {
			group.resumed().get(60, TimeUnit.SECONDS);
			group.thaw();
			group.switchedTwice().get(60, TimeUnit.SECONDS);
			assertThat(group.violation()).isEqualTo(Optional.empty());
		}
	}

	@Test
	void finishTheSwitchInProgressBeforeTheyStop() throws Exception {
		FakeGroup group = new FakeGroup(RANKS, 2);
		try (Sidecars sidecars = new Sidecars(group)) {
			group.firstHeld().get(60, TimeUnit.SECONDS);
			sidecars.running.get(0).stop();
			sidecars.running.get(0).awaitStopped();
			assertThat(group.isHeld()).isFalse();
			assertThat(group.violation()).isEqualTo(Optional.empty());
		}
	}

	// Guards against a process that stays alive, and so is not restarted, but cannot
	// serve.
	@Test
	void failOnceTheirEventLoopHasEnded() throws Exception {
		CompletableFuture<EventLoopGroup> started = new CompletableFuture<>();
		PluginRegistry plugins = PluginRegistry
			.of(List.of(Plugin.of(RankSource.Factory.class, "test", (engine, store, loops) -> {
				started.complete(loops);
				return new FakeSource(new FakeGroup(RANKS, Integer.MAX_VALUE), RANKS, 0);
			})));
		RankSettings settings = new RankSettings("rank-0", address(0), freePort(), new InetSocketAddress(address(0), 1),
				"service", "test", new InetSocketAddress("127.0.0.1", 1), 500_000);
		try (RankSidecar sidecar = RankSidecar.start(settings, plugins, new Random(0))) {
			started.join().next().shutdownGracefully();
			CompletableFuture<Void> awaited = CompletableFuture.runAsync(sidecar::awaitStopped);
			ExecutionException ended = Assertions.assertThrows(ExecutionException.class,
					() -> awaited.get(20, TimeUnit.SECONDS));
			assertThat(ended).hasCauseThat().hasMessageThat().contains("event loop");
		}
	}

	/**
	 * The sidecars of all ranks of a group.
	 */
	private static final class Sidecars implements AutoCloseable {

		private final List<RankSidecar> running = new ArrayList<>();

		private Sidecars(FakeGroup group) throws Exception {
			this(group, RANKS);
		}

		private Sidecars(FakeGroup group, int ranks) throws Exception {
			this(group, ranks, ranks);
		}

		private Sidecars(FakeGroup group, int ranks, int running) throws Exception {
			int port = freePort();
			PluginRegistry plugins = PluginRegistry.of(List.of(Plugin.of(RankSource.Factory.class, "test",
					(engine, store, loops) -> new FakeSource(group, ranks, engine.getPort() - 1))));
			for (int rank = 0; rank < running; rank++) {
				// The engine's port identifies the rank to the fake source.
				RankSettings settings = new RankSettings("rank-" + rank, address(rank), port,
						new InetSocketAddress(address(rank), rank + 1), "service", "test",
						new InetSocketAddress("127.0.0.1", 1), 500_000);
				this.running.add(RankSidecar.start(settings, plugins, new Random(rank)));
			}
		}

		@Override
		public void close() {
			this.running.forEach(RankSidecar::close);
		}

	}

	/**
	 * Provides the fake group, its configuration and its addresses.
	 */
	private record FakeSource(FakeGroup group, int ranks, int rank) implements RankSource, FleetSource {

		@Override
		public Feed<Evacuation> evacuations() {
			throw new UnsupportedOperationException();
		}

		@Override
		public RankEngine engine() {
			return this.group.localEngine(this.rank);
		}

		@Override
		public RankEngine engineAt(InetSocketAddress address) {
			return this.group.remoteEngine(address.getAddress().getAddress()[3] - 1);
		}

		@Override
		public FleetSource fleet() {
			return this;
		}

		@Override
		public CompletionStage<OptionalLong> acquireFencingToken(String name, String holder) {
			return this.group.nextFencingToken();
		}

		@Override
		public Feed<GatewayConfiguration> configuration() {
			int count = FakeGroup.experts(this.ranks);
			ExpertSpec experts = new ExpertSpec(1, count, count / this.ranks + 2, 2, 0.01);
			EngineSpec engine = new EngineSpec(8, 5, 0.5, 70_000, 6, 800, 150, OptionalLong.empty(),
					Optional.of(experts));
			ServiceSpec service = new ServiceSpec("service", 100, Optional.of(engine));
			return fixed(List.of(new FeedResult.Item<>("main", Optional.of(new GatewayConfiguration(1, List.of(),
					Map.of("service", service), CallerLimits.DEFAULTS, Access.ofEveryone())))));
		}

		@Override
		public EntryRegistry entries() {
			throw new UnsupportedOperationException("a sidecar is not an entry");
		}

		@Override
		public CrashReportStore crashReports() {
			throw new UnsupportedOperationException("a sidecar is not an entry");
		}

		@Override
		public Feed<UpstreamRecord> upstreams() {
			List<FeedResult.Item<UpstreamRecord>> records = new ArrayList<>();
			for (int rank = 0; rank < this.ranks; rank++) {
				records.add(new FeedResult.Item<>("u" + rank, Optional.of(new UpstreamRecord("u" + rank, "service",
						new InetSocketAddress(RankSidecarTests.address(rank), 80), "a", 8, false, 0))));
			}
			return fixed(records);
		}

		private static <T> Feed<T> fixed(List<FeedResult.Item<T>> items) {
			return new Feed<>() {
				@Override
				public CompletionStage<FeedResult<T>> list() {
					return CompletableFuture.completedFuture(new FeedResult.Listed<>(items, 1, 0));
				}

				@Override
				public CompletionStage<FeedResult<T>> watch(long revision, Duration wait) {
					return new CompletableFuture<>();
				}
			};
		}

		@Override
		public long calls() {
			return 0;
		}

		@Override
		public int ignoredObjects() {
			return 0;
		}

		@Override
		public void close() {
			// Nothing to close.
		}

	}

}
