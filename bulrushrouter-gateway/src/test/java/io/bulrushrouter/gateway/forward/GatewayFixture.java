package io.bulrushrouter.gateway.forward;

import java.io.IOException;
import java.io.InputStream;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalInt;
import java.util.Random;
import java.util.concurrent.TimeUnit;
import java.util.function.ToLongFunction;

import io.micrometer.core.instrument.simple.SimpleMeterRegistry;
import io.netty.channel.nio.NioEventLoopGroup;

import io.bulrushrouter.gateway.config.Access;
import io.bulrushrouter.gateway.config.ActiveConfiguration;
import io.bulrushrouter.gateway.config.CallerLimits;
import io.bulrushrouter.gateway.config.EngineSpec;
import io.bulrushrouter.gateway.config.GatewayConfiguration;
import io.bulrushrouter.gateway.config.Organisation;
import io.bulrushrouter.gateway.config.Route;
import io.bulrushrouter.gateway.config.RouteKind;
import io.bulrushrouter.gateway.config.ServiceSpec;
import io.bulrushrouter.gateway.config.WarmupSpec;
import io.bulrushrouter.gateway.config.WeightedService;
import io.bulrushrouter.gateway.membership.EntryMembership;
import io.bulrushrouter.gateway.node.CrashReporter;
import io.bulrushrouter.gateway.quarantine.CrashEvidence;
import io.bulrushrouter.gateway.source.Evacuation;
import io.bulrushrouter.gateway.source.FeedCounters;
import io.bulrushrouter.gateway.source.FeedResult.Item;
import io.bulrushrouter.gateway.source.FreshnessProof;
import io.bulrushrouter.gateway.source.HeaderNames;
import io.bulrushrouter.gateway.source.UpstreamRecord;
import io.bulrushrouter.gateway.upstream.EvacuatedDataCentres;
import io.bulrushrouter.gateway.upstream.UpstreamDirectory;
import io.bulrushrouter.gateway.upstream.UpstreamSelector;
import io.bulrushrouter.kernel.TimeSource;

/**
 * A gateway on the loopback interface in front of scripted upstreams, with the routes
 * {@code /read/}, {@code /write/} and {@code /stream/} of the host {@code test}.
 */
final class GatewayFixture implements AutoCloseable {

	static final HeaderNames HEADERS = new HeaderNames("X-Attempt", "X-Deadline", "X-Key", "X-Organisation",
			"X-Expected", "X-Not-Run", "X-Stamp", "Last-Event-Id", "X-Priority", "X-Tokens", "X-Faulty", "X-Limit",
			"X-Leaving", "X-Parts", "X-Warmup");

	static final String KEY = "secret";

	static final String PROBE_PATH = "/status";

	/** Spare retries of all entries, of which one that knows no others takes 4. */
	private static final int SPARE_RETRIES = 84;

	private static final int MAX_UPSTREAM_CONNECTIONS = 100;

	private static final int HEAD_BYTES = 4_096;

	private static final int BODY_BYTES = 10_000;

	private static final int READ_TIMEOUT_MILLIS = 20_000;

	private final NioEventLoopGroup group = new NioEventLoopGroup(1);

	private final EvacuatedDataCentres evacuated = EvacuatedDataCentres.ofNone();

	private final UpstreamDirectory directory = new UpstreamDirectory(this.evacuated);

	private final GatewayContext context;

	private final CallerServer server;

	private final InetSocketAddress address;

	private final EntryMembership membership;

	private final CrashReporter crashReporter;

	private long proofAgeMillis;

	private final List<Item<UpstreamRecord>> upstreams = new ArrayList<>();

	GatewayFixture(ScriptedUpstream... scripted) throws Exception {
		this(Duration.ofSeconds(15), scripted);
	}

	/**
	 * Starts one of several entries, without upstreams.
	 * @param name the name of the entry
	 * @param crashReports the crash reports of all entries
	 * @throws Exception if the event loop fails
	 */
	GatewayFixture(String name, SharedCrashReports crashReports) throws Exception {
		this(name, crashReports, Duration.ofSeconds(15));
	}

	GatewayFixture(Duration timeout, ScriptedUpstream... scripted) throws Exception {
		this("entry", new SharedCrashReports(), timeout, scripted);
	}

	private GatewayFixture(String name, SharedCrashReports crashReports, Duration timeout, ScriptedUpstream... scripted)
			throws Exception {
		this.membership = new EntryMembership(name);
		CrashEvidence evidence = new CrashEvidence(name, name.hashCode(), this.membership::position);
		this.crashReporter = new CrashReporter(this.group.next(), TimeSource.ofSystem(), new Random(1), name,
				crashReports.storeFor(this.group.next()), evidence, new FeedCounters());
		FreshnessProof freshness = new FreshnessProof(() -> this.proofAgeMillis * 1_000_000, () -> this.proofAgeMillis);
		freshness.prove(0);
		ForwardSettings settings = settings(1 << 20, MAX_UPSTREAM_CONNECTIONS);
		this.context = new GatewayContext(this.group.next(), TimeSource.ofSystem(), new Random(1), HEADERS, settings,
				this.directory, new UpstreamSelector("a", new Random(1)), freshness,
				new ForwardMetrics(new SimpleMeterRegistry()), this.membership, evidence, PROBE_PATH);
		this.context.firstProcess();
		char id = 'a';
		for (ScriptedUpstream each : scripted) {
			// Only the first is in the gateway's data centre, so that it is selected
			// first.
			String dataCentre = (id == 'a') ? "a" : "b";
			this.upstreams.add(new Item<>("up-" + id,
					Optional.of(new UpstreamRecord("up-" + id++, "service", each.address(), dataCentre, 8, false, 0))));
		}
		this.server = new CallerServer(this.context, 100);
		this.group.next().submit(() -> {
			this.crashReporter.start();
			this.directory.replace(this.upstreams, 0);
			this.context.configuration(ActiveConfiguration.of(configuration(timeout, Map.of())));
		}).get(10, TimeUnit.SECONDS);
		this.address = this.server.listen(new InetSocketAddress(InetAddress.getLoopbackAddress(), 0));
	}

	private static ForwardSettings settings(long bytes, int upstreamConnections) {
		return new ForwardSettings(0.16, SPARE_RETRIES, Duration.ofSeconds(10), Duration.ofMillis(4_300),
				Duration.ofMillis(3_500), bytes, upstreamConnections);
	}

	private static GatewayConfiguration configuration(Duration timeout, Map<String, ServiceSpec> services) {
		return new GatewayConfiguration(1, List.of(route("/read/", RouteKind.IDEMPOTENT, timeout),
				route("/write/", RouteKind.NON_IDEMPOTENT, timeout), route("/stream/", RouteKind.STREAM, timeout)),
				services, callerLimits(HEAD_BYTES, BODY_BYTES),
				Access.ofOrganisations(List.of(new Organisation("bakers", List.of(KEY), OptionalInt.empty()))));
	}

	/**
	 * Applies a configuration.
	 * @param configuration the configuration
	 * @throws Exception if the event loop fails
	 */
	void configure(GatewayConfiguration configuration) throws Exception {
		this.group.next()
			.submit(() -> this.context.configuration(ActiveConfiguration.of(configuration)))
			.get(10, TimeUnit.SECONDS);
	}

	/**
	 * Changes who may send requests, in a new version of the configuration.
	 * @param access who may
	 * @throws Exception if the event loop fails
	 */
	void access(Access access) throws Exception {
		GatewayConfiguration base = configuration(Duration.ofSeconds(15), Map.of());
		configure(new GatewayConfiguration(base.version() + 1, base.routes(), base.services(), base.limits(), access));
	}

	/**
	 * Replaces the limit of a request body.
	 * @param bytes the limit
	 * @throws Exception if the event loop fails
	 */
	void bodyLimit(int bytes) throws Exception {
		limits(HEAD_BYTES, bytes);
	}

	/**
	 * Replaces the limit of a request head.
	 * @param bytes the limit
	 * @throws Exception if the event loop fails
	 */
	void headLimit(int bytes) throws Exception {
		limits(bytes, BODY_BYTES);
	}

	private void limits(int headBytes, int bodyBytes) throws Exception {
		GatewayConfiguration base = configuration(Duration.ofSeconds(15), Map.of());
		configure(new GatewayConfiguration(base.version(), base.routes(), base.services(),
				callerLimits(headBytes, bodyBytes), base.access()));
	}

	private static CallerLimits callerLimits(int headBytes, int bodyBytes) {
		return new CallerLimits(headBytes, bodyBytes, Duration.ofSeconds(3), Duration.ofSeconds(15));
	}

	private static Route route(String prefix, RouteKind kind, Duration timeout) {
		return new Route(prefix, "test", prefix, kind, timeout, Duration.ofMillis(300), 1,
				List.of(new WeightedService("service", 1)), 2, false, kind == RouteKind.STREAM);
	}

	/**
	 * Lists all upstreams again, as ready and with an incarnation.
	 * @param incarnation the start of the incarnation
	 * @throws Exception if the event loop fails
	 */
	void relist(long incarnation) throws Exception {
		List<Item<UpstreamRecord>> items = this.upstreams.stream().map((item) -> {
			UpstreamRecord known = item.value().orElseThrow();
			return new Item<>(item.name(), Optional.of(new UpstreamRecord(known.id(), known.service(), known.address(),
					known.dataCentre(), known.slots(), false, incarnation)));
		}).toList();
		this.group.next().submit(() -> this.directory.replace(items, 0)).get(10, TimeUnit.SECONDS);
	}

	/**
	 * Changes the configuration of the service.
	 * @param engine the characteristics of its engines, or empty
	 * @param warmup how its upstreams warm up, or empty
	 * @throws Exception if the event loop fails
	 */
	void service(Optional<EngineSpec> engine, Optional<WarmupSpec> warmup) throws Exception {
		ServiceSpec service = new ServiceSpec("service", 100, engine, warmup);
		GatewayConfiguration changed = configuration(Duration.ofSeconds(15), Map.of("service", service));
		this.group.next()
			.submit(() -> this.context.configuration(ActiveConfiguration.of(changed)))
			.get(10, TimeUnit.SECONDS);
	}

	/**
	 * Lets the store be unavailable and does what is due at intervals.
	 * @return the number of upstreams that are cold or assumed to be
	 * @throws Exception if the event loop fails
	 */
	int sweepWithoutStore() throws Exception {
		return this.group.next().submit(() -> {
			this.directory.storeLost();
			this.context.sweep();
			return this.context.coldUpstreams();
		}).get(10, TimeUnit.SECONDS);
	}

	/**
	 * Lets the entry know that there are no others.
	 * @throws Exception if the event loop fails
	 */
	void alone() throws Exception {
		this.group.next().submit(() -> this.membership.listed(List.of())).get(10, TimeUnit.SECONDS);
	}

	/**
	 * Begins or ends the evacuation of a data centre.
	 * @param dataCentre the data centre
	 * @param begin whether it begins
	 * @throws Exception if the event loop fails
	 */
	void evacuate(String dataCentre, boolean begin) throws Exception {
		Item<Evacuation> change = new Item<>(dataCentre,
				begin ? Optional.of(new Evacuation(dataCentre)) : Optional.empty());
		this.group.next().submit(() -> this.evacuated.change(List.of(change), 0)).get(10, TimeUnit.SECONDS);
	}

	/**
	 * Returns whether every lost connection has been checked.
	 * @return whether no check is in progress
	 * @throws Exception if the event loop fails
	 */
	boolean connectionsChecked() throws Exception {
		return this.group.next().submit(() -> this.context.crashDetector().idle()).get(10, TimeUnit.SECONDS);
	}

	String explain(Map<String, String> query) throws Exception {
		return this.group.next()
			.submit(() -> String.join("\n", new ChoiceExplainer(this.context).explain(query)))
			.get(10, TimeUnit.SECONDS);
	}

	/**
	 * Returns the number of fingerprints in quarantine.
	 * @return the number
	 * @throws Exception if the event loop fails
	 */
	int quarantines() throws Exception {
		return this.group.next().submit(() -> this.context.crashEvidence().quarantines()).get(10, TimeUnit.SECONDS);
	}

	/**
	 * Replaces the list of upstreams.
	 * @param records the upstreams
	 * @throws Exception if the event loop fails
	 */
	void list(List<UpstreamRecord> records) throws Exception {
		List<Item<UpstreamRecord>> items = records.stream()
			.map((record) -> new Item<>(record.id(), Optional.of(record)))
			.toList();
		this.group.next().submit(() -> this.directory.replace(items, 0)).get(10, TimeUnit.SECONDS);
	}

	/**
	 * Sets the age of the freshness proof of the configuration.
	 * @param millis the age in milliseconds
	 */
	void setProofAge(long millis) {
		this.proofAgeMillis = millis;
	}

	boolean ready() {
		return this.context.ready();
	}

	/**
	 * Applies the timeouts to the callers' connections as if time had passed.
	 * @param elapsed the time that has passed
	 * @throws Exception if the event loop fails
	 */
	void sweepAfter(Duration elapsed) throws Exception {
		this.group.next()
			.submit(() -> this.server.sweep(System.nanoTime() + elapsed.toNanos()))
			.get(10, TimeUnit.SECONDS);
	}

	/**
	 * Waits until the tasks that are due have run.
	 * @throws Exception if the event loop fails
	 */
	void runTasks() throws Exception {
		this.group.next().submit(() -> {
		}).get(10, TimeUnit.SECONDS);
	}

	Caller caller() throws IOException {
		return new Caller(new Socket());
	}

	/**
	 * Connects a caller whose instance receives little that it has not read.
	 * @return the caller
	 * @throws IOException if the connection fails
	 */
	Caller slowCaller() throws IOException {
		Socket socket = new Socket();
		socket.setReceiveBufferSize(4_096);
		return new Caller(socket);
	}

	/**
	 * Replaces the bound of what all connections hold.
	 * @param bytes the bound
	 * @throws Exception if the event loop fails
	 */
	void bound(long bytes) throws Exception {
		limit(bytes, MAX_UPSTREAM_CONNECTIONS);
	}

	/**
	 * Replaces the bounds of what all connections hold and of the connections to
	 * upstreams.
	 * @param bytes the bound of what they hold
	 * @param upstreamConnections the bound of the connections to upstreams
	 * @throws Exception if the event loop fails
	 */
	void limit(long bytes, int upstreamConnections) throws Exception {
		ForwardSettings settings = settings(bytes, upstreamConnections);
		this.group.next().submit(() -> this.context.settings(settings)).get(10, TimeUnit.SECONDS);
	}

	/**
	 * Returns what the gateway reports about its connections.
	 * @param value reads the value
	 * @return the value
	 * @throws Exception if the event loop fails
	 */
	long read(ToLongFunction<GatewayContext> value) throws Exception {
		return this.group.next().submit(() -> value.applyAsLong(this.context)).get(10, TimeUnit.SECONDS);
	}

	@Override
	public void close() {
		this.crashReporter.close();
		this.server.close();
		this.group.shutdownGracefully(0, 1, TimeUnit.SECONDS).syncUninterruptibly();
	}

	/**
	 * A caller's connection.
	 */
	final class Caller implements AutoCloseable {

		private final Socket socket;

		private final InputStream in;

		private Caller(Socket socket) throws IOException {
			this.socket = socket;
			this.socket.connect(GatewayFixture.this.address);
			this.socket.setSoTimeout(READ_TIMEOUT_MILLIS);
			this.in = this.socket.getInputStream();
		}

		/**
		 * Sets how long a read waits for the next byte.
		 * @param millis the time in milliseconds
		 * @return this caller
		 * @throws IOException if the connection is closed
		 */
		Caller patience(int millis) throws IOException {
			this.socket.setSoTimeout(millis);
			return this;
		}

		Caller send(String text) throws IOException {
			this.socket.getOutputStream().write(text.getBytes(StandardCharsets.ISO_8859_1));
			return this;
		}

		Caller get(String path, String... headers) throws IOException {
			return send("GET " + path + " HTTP/1.1\r\nHost: test\r\nX-Key: " + KEY + "\r\nX-Attempt: id-1\r\n"
					+ String.join("", headers) + "\r\n");
		}

		Caller post(String path, String body) throws IOException {
			return send("POST " + path + " HTTP/1.1\r\nHost: test\r\nX-Key: " + KEY
					+ "\r\nX-Attempt: id-1\r\nContent-Length: " + body.length() + "\r\n\r\n" + body);
		}

		/**
		 * Reads one response that has a content length.
		 * @return the head and the body
		 * @throws IOException if the connection breaks
		 */
		String readResponse() throws IOException {
			return ScriptedUpstream.Messages.readMessage(this.in);
		}

		/**
		 * Reads until the gateway closes the connection.
		 * @return all bytes
		 * @throws IOException if the connection breaks
		 */
		String readToEnd() throws IOException {
			return new String(this.in.readAllBytes(), StandardCharsets.ISO_8859_1);
		}

		/**
		 * Counts the bytes up to the end of the connection.
		 * @param limit the number of bytes at which counting stops
		 * @return the number of bytes, at least the limit if the connection did not end
		 * before
		 * @throws IOException if the connection breaks
		 */
		long countToEnd(long limit) throws IOException {
			byte[] buffer = new byte[1 << 16];
			long count = 0;
			int read = this.in.read(buffer);
			while (read >= 0 && count < limit) {
				count += read;
				read = this.in.read(buffer);
			}
			return count;
		}

		/**
		 * Reads until a text has arrived.
		 * @param text the text
		 * @return all bytes up to and including the text
		 * @throws IOException if the connection breaks
		 */
		String readUntil(String text) throws IOException {
			StringBuilder read = new StringBuilder();
			while (read.indexOf(text) < 0) {
				int next = this.in.read();
				if (next < 0) {
					throw new IOException("connection closed after: " + read);
				}
				read.append((char) next);
			}
			return read.toString();
		}

		@Override
		public void close() throws IOException {
			this.socket.close();
		}

	}

}
