package io.bulrushrouter.gateway.node;

import java.io.IOException;
import java.io.InputStream;
import java.io.StringReader;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.Optional;
import java.util.Random;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionStage;
import java.util.concurrent.ExecutionException;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;

import io.netty.channel.EventLoopGroup;
import org.junit.jupiter.api.Assertions;
import org.junit.jupiter.api.Test;

import io.bulrushrouter.gateway.config.Access;
import io.bulrushrouter.gateway.config.CallerLimits;
import io.bulrushrouter.gateway.config.GatewayConfiguration;
import io.bulrushrouter.gateway.config.Route;
import io.bulrushrouter.gateway.config.RouteKind;
import io.bulrushrouter.gateway.config.WeightedService;
import io.bulrushrouter.gateway.quarantine.CrashReport;
import io.bulrushrouter.gateway.source.CrashReportStore;
import io.bulrushrouter.gateway.source.EntryHeartbeat;
import io.bulrushrouter.gateway.source.EntryRegistry;
import io.bulrushrouter.gateway.source.Evacuation;
import io.bulrushrouter.gateway.source.Feed;
import io.bulrushrouter.gateway.source.FeedResult;
import io.bulrushrouter.gateway.source.FleetSource;
import io.bulrushrouter.gateway.source.HeaderNames;
import io.bulrushrouter.gateway.source.UpstreamRecord;
import io.bulrushrouter.gateway.source.WriteOutcome;
import io.bulrushrouter.kernel.plugin.Plugin;
import io.bulrushrouter.kernel.plugin.PluginRegistry;
import io.bulrushrouter.kernel.settings.Settings;

import static com.google.common.truth.Truth.assertThat;

/**
 * A graceful shutdown finishes the requests in flight and reports not ready at once.
 */
class GatewayStopTests {

	private static final HeaderNames HEADERS = new HeaderNames("X-Attempt", "X-Deadline", "X-Key", "X-Organisation",
			"X-Expected", "X-Not-Run", "X-Stamp", "Last-Event-Id", "X-Priority", "X-Tokens", "X-Faulty", "X-Limit",
			"X-Leaving", "X-Parts", "X-Warmup");

	private static int freePort() throws IOException {
		try (ServerSocket socket = new ServerSocket(0, 1, InetAddress.getLoopbackAddress())) {
			return socket.getLocalPort();
		}
	}

	private static GatewaySettings settings(int callers, int readiness) throws IOException {
		return GatewaySettings.of(Settings.ofReader("test", new StringReader("""
				[instance]
				name = test
				data-centre = a
				memory-mb = 256
				descriptors = 1024
				[listen]
				callers = 127.0.0.1:%d
				readiness = 127.0.0.1:%d
				metrics = 127.0.0.1:0
				[source]
				kind = test
				store = 127.0.0.1:1
				[retry]
				ratio = 0.2
				spare = 20
				[stop]
				grace = 20s
				""".formatted(callers, readiness))));
	}

	private static String exchange(Socket socket, String request) throws IOException {
		socket.getOutputStream().write(request.getBytes(StandardCharsets.ISO_8859_1));
		InputStream in = socket.getInputStream();
		StringBuilder head = new StringBuilder();
		while (head.indexOf("\r\n\r\n") < 0) {
			int next = in.read();
			if (next < 0) {
				return head.toString();
			}
			head.append((char) next);
		}
		return head.toString();
	}

	private static String readiness(int port) throws IOException {
		try (Socket socket = new Socket(InetAddress.getLoopbackAddress(), port)) {
			return exchange(socket, "GET /readyz HTTP/1.1\r\nHost: x\r\n\r\n");
		}
	}

	@Test
	void finishesRequestsInFlightAndReportsNotReadyAtOnce() throws Exception {
		int callers = freePort();
		int readiness = freePort();
		CompletableFuture<Void> release = new CompletableFuture<>();
		CompletableFuture<Void> arrived = new CompletableFuture<>();
		try (ServerSocket upstream = new ServerSocket(0, 5, InetAddress.getLoopbackAddress())) {
			Thread server = new Thread(() -> answerWhenReleased(upstream, arrived, release));
			server.setDaemon(true);
			server.start();
			PluginRegistry plugins = PluginRegistry
				.of(List.of(Plugin.of(FleetSource.Factory.class, "test", new FixedFleet(upstream.getLocalPort()))));
			try (Gateway gateway = Gateway.start(settings(callers, readiness), plugins, new Random(1));
					Socket caller = new Socket(InetAddress.getLoopbackAddress(), callers)) {
				CompletableFuture<String> answer = CompletableFuture.supplyAsync(() -> slowRequest(caller));
				arrived.join();
				assertThat(readiness(readiness)).startsWith("HTTP/1.1 200");
				gateway.stop();
				// The event loop starts the shutdown before it answers this request.
				assertThat(readiness(readiness)).startsWith("HTTP/1.1 503");
				release.complete(null);
				String head = answer.join();
				assertThat(head).startsWith("HTTP/1.1 200");
				assertThat(head.toLowerCase(Locale.ROOT)).contains("connection: close");
				gateway.awaitStopped();
			}
		}
	}

	// While an entry stops, callers still connect: those that it accepts get an answer,
	// as
	// does one whose request arrives slowly.
	@Test
	void answersCallersThatConnectOrSendSlowlyWhileItStops() throws Exception {
		int callers = freePort();
		int readiness = freePort();
		PluginRegistry plugins = PluginRegistry
			.of(List.of(Plugin.of(FleetSource.Factory.class, "test", new FixedFleet(freePort()))));
		try (Gateway gateway = Gateway.start(settings(callers, readiness), plugins, new Random(1));
				Socket slow = new Socket(InetAddress.getLoopbackAddress(), callers)) {
			slow.getOutputStream()
				.write("POST /write/x HTTP/1.1\r\nHost: test\r\nContent-Length: 2\r\n\r\na"
					.getBytes(StandardCharsets.ISO_8859_1));
			gateway.stop();
			String answer = "";
			while (!answer.contains("draining")) {
				try (Socket late = new Socket(InetAddress.getLoopbackAddress(), callers)) {
					late.getOutputStream()
						.write("GET /write/x HTTP/1.1\r\nHost: test\r\nConnection: close\r\n\r\n"
							.getBytes(StandardCharsets.ISO_8859_1));
					answer = new String(late.getInputStream().readAllBytes(), StandardCharsets.ISO_8859_1);
				}
				assertThat(answer).startsWith("HTTP/1.1 503");
			}
			// Longer than an entry without requests in flight keeps idle connections.
			Thread.sleep(2_000);
			assertThat(exchange(slow, "b")).startsWith("HTTP/1.1 503");
			gateway.awaitStopped();
		}
	}

	// Guards against a process that stays alive, and so is not restarted, but cannot
	// serve.
	@Test
	void failsOnceItsEventLoopHasEnded() throws Exception {
		CompletableFuture<EventLoopGroup> loops = new CompletableFuture<>();
		FleetSource.Factory fleet = new FixedFleet(freePort(), loops::complete);
		PluginRegistry plugins = PluginRegistry.of(List.of(Plugin.of(FleetSource.Factory.class, "test", fleet)));
		try (Gateway gateway = Gateway.start(settings(freePort(), freePort()), plugins, new Random(1))) {
			loops.join().next().shutdownGracefully();
			CompletableFuture<Void> awaited = CompletableFuture.runAsync(gateway::awaitStopped);
			ExecutionException ended = Assertions.assertThrows(ExecutionException.class,
					() -> awaited.get(20, TimeUnit.SECONDS));
			assertThat(ended).hasCauseThat().hasMessageThat().contains("event loop");
		}
	}

	private static String slowRequest(Socket caller) {
		try {
			return exchange(caller,
					"POST /write/x HTTP/1.1\r\nHost: test\r\nX-Attempt: i\r\nContent-Length: 0\r\n\r\n");
		}
		catch (IOException ex) {
			return ex.toString();
		}
	}

	private static void answerWhenReleased(ServerSocket upstream, CompletableFuture<Void> arrived,
			CompletableFuture<Void> release) {
		try (Socket connection = upstream.accept()) {
			connection.getInputStream().read();
			arrived.complete(null);
			release.join();
			connection.getOutputStream()
				.write("HTTP/1.1 200 OK\r\nX-Attempt: i\r\nX-Stamp: s\r\nContent-Length: 2\r\n\r\nok"
					.getBytes(StandardCharsets.ISO_8859_1));
			connection.getInputStream().readAllBytes();
		}
		catch (IOException ex) {
			arrived.completeExceptionally(ex);
		}
	}

	// A fleet with a single upstream that never changes.
	private record FixedFleet(int port, Consumer<EventLoopGroup> loops) implements FleetSource, FleetSource.Factory {

		private FixedFleet(int port) {
			this(port, (group) -> {
			});
		}

		@Override
		public HeaderNames headers() {
			return HEADERS;
		}

		@Override
		public String probePath() {
			return "/status";
		}

		@Override
		public FleetSource connect(String host, int storePort, EventLoopGroup group) {
			this.loops.accept(group);
			return this;
		}

		@Override
		public Feed<GatewayConfiguration> configuration() {
			Route route = new Route("r", "test", "/write/", RouteKind.NON_IDEMPOTENT, Duration.ofSeconds(30),
					Duration.ofSeconds(1), 1, List.of(new WeightedService("s", 1)), 1, true, false);
			return fixed("main",
					new GatewayConfiguration(1, List.of(route), Map.of(), CallerLimits.DEFAULTS, Access.ofEveryone()));
		}

		@Override
		public EntryRegistry entries() {
			return new EntryRegistry() {

				@Override
				public CompletionStage<WriteOutcome> heartbeat(String instance, long sequence) {
					return CompletableFuture.completedFuture(WriteOutcome.CREATED);
				}

				@Override
				public CompletionStage<Optional<List<EntryHeartbeat>>> list() {
					return CompletableFuture.completedFuture(Optional.of(List.of()));
				}

			};
		}

		@Override
		public CrashReportStore crashReports() {
			return new CrashReportStore() {

				@Override
				public CompletionStage<Boolean> write(String instance, CrashReport report) {
					return CompletableFuture.completedFuture(true);
				}

				@Override
				public Feed<CrashReport> reports() {
					return fixed("other", new CrashReport(1, 1, Map.of(), Map.of()));
				}

			};
		}

		@Override
		public Feed<UpstreamRecord> upstreams() {
			InetSocketAddress address = new InetSocketAddress(InetAddress.getLoopbackAddress(), this.port);
			return fixed("u", new UpstreamRecord("u", "s", address, "a", 8, false, 0));
		}

		@Override
		public Feed<Evacuation> evacuations() {
			return fixed("elsewhere", new Evacuation("elsewhere"));
		}

		private static <T> Feed<T> fixed(String name, T value) {
			return new Feed<>() {
				@Override
				public CompletionStage<FeedResult<T>> list() {
					return CompletableFuture.completedFuture(
							new FeedResult.Listed<>(List.of(new FeedResult.Item<>(name, Optional.of(value))), 1, 0));
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
			// There is nothing to close.
		}

	}

}
