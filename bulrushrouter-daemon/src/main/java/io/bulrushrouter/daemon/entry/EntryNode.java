package io.bulrushrouter.daemon.entry;

import java.time.Clock;
import java.time.Duration;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.atomic.AtomicLong;
import java.util.function.Consumer;
import java.util.function.Supplier;
import java.util.random.RandomGenerator;

import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

import io.bulrushrouter.coordination.CallBudget;
import io.bulrushrouter.coordination.Delay;
import io.bulrushrouter.coordination.ExponentialBackoff;
import io.bulrushrouter.coordination.WriteResolvingStore;
import io.bulrushrouter.daemon.admin.AdminApi;
import io.bulrushrouter.daemon.admin.AdminContext;
import io.bulrushrouter.daemon.config.ApiKeys;
import io.bulrushrouter.daemon.config.Organisation;
import io.bulrushrouter.daemon.evacuation.EvacuationDuty;
import io.bulrushrouter.daemon.evacuation.PlacementPoller;
import io.bulrushrouter.daemon.evacuation.SidecarClient;
import io.bulrushrouter.daemon.node.DaemonResources;
import io.bulrushrouter.daemon.node.ErrorReply;
import io.bulrushrouter.daemon.node.OperatorEndpoint;
import io.bulrushrouter.daemon.sidecar.SidecarNode;
import io.bulrushrouter.daemon.spread.ActiveConfiguration;
import io.bulrushrouter.daemon.spread.ConfigurationPropagator;
import io.bulrushrouter.evacuation.EvacuationJson;
import io.bulrushrouter.evacuation.reconcile.ReconcilePolicy;
import io.bulrushrouter.http.HttpExchange;
import io.bulrushrouter.http.HttpHandler;
import io.bulrushrouter.http.HttpLimits;
import io.bulrushrouter.http.HttpServer;
import io.bulrushrouter.kernel.BulrushException;
import io.bulrushrouter.kernel.ErrorCode;
import io.bulrushrouter.kernel.TimeSource;
import io.bulrushrouter.kernel.Verdict;
import io.bulrushrouter.kernel.duty.Duty;
import io.bulrushrouter.kernel.plugin.PluginRegistry;
import io.bulrushrouter.kernel.store.LiveInstance;
import io.bulrushrouter.kernel.store.ObjectStore;
import io.bulrushrouter.request.EntryPolicy;
import io.bulrushrouter.request.RequestSpec;
import io.bulrushrouter.request.RetryBudget;
import io.bulrushrouter.routing.UpstreamChooser;
import io.bulrushrouter.wire.PeerConnection;
import io.bulrushrouter.wire.PeerHandler;
import io.bulrushrouter.wire.PeerNetwork;
import io.bulrushrouter.wire.WireCounters;
import io.bulrushrouter.wire.WireMessage;

/**
 * An entry process: connects the core, the HTTP servers, the peers and the duties.
 */
public final class EntryNode implements AutoCloseable {

	/** The role in the handshake with peers and on the live list. */
	public static final String ROLE = "entry";

	private static final Logger logger = LoggerFactory.getLogger(EntryNode.class);

	private static final int NETWORK_THREADS = 4;

	private static final Duration TICK_INTERVAL = Duration.ofMillis(5);

	private static final long DRAIN_POLL_MILLIS = 20;

	/**
	 * How long a drained entry waits for callers to read the ends of their responses,
	 * longer than a caller on a busy instance needs to read a socket buffer.
	 */
	private static final Duration LAST_WRITES_TIMEOUT = Duration.ofSeconds(5);

	/**
	 * Operators use only a few entries at a time, so one entry may use more than an equal
	 * share of the call rate.
	 */
	private static final CallBudget ADMINISTRATION_BUDGET = new CallBudget(4, 1, 30);

	private static final int MAX_SETTLE_ATTEMPTS = 5;

	private static final int RETRY_AFTER_MILLIS = 1_000;

	private final EntrySettings settings;

	private final DaemonResources resources;

	private final Duty<EntryInput> duty;

	private final int peerPort;

	private final EntryCore core;

	private final PeerNetwork peers;

	private final HttpServer callers;

	private final HttpServer operators;

	private final SidecarClient sidecarClient = new SidecarClient();

	private final AdminApi administration;

	private final EvacuationDuty evacuation;

	private final ConfigurationPropagator configurations;

	private volatile Optional<ActiveConfiguration> activeConfiguration = Optional.empty();

	private volatile ApiKeys<Organisation> callerKeys = ApiKeys.of(List.of(), Organisation::keySha256);

	private volatile boolean draining;

	private EntryNode(EntrySettings settings) {
		this.settings = settings;
		UpstreamChooser chooser = PluginRegistry.ofClassPath().require(UpstreamChooser.class, settings.chooser());
		this.resources = DaemonResources.open(settings.process(), NETWORK_THREADS);
		try {
			RandomGenerator random = RandomGenerator.of("L64X128MixRandom");
			long incarnation = random.nextLong();
			WireMessage.Hello hello = new WireMessage.Hello(settings.process().name().value(),
					settings.process().name().value(), ROLE, settings.process().dataCentre().value(), incarnation);
			this.peers = PeerNetwork.of(this.resources.eventLoopGroup(), hello, new PeerListener(), random);
			EntryPolicy policy = EntryPolicy.builder().maxAttempts(settings.maxAttempts()).build();
			this.core = new EntryCore(incarnation, policy,
					RetryBudget.of(RetryBudget.DEFAULT_RATIO, settings.retryBurst()),
					new UpstreamRouter(settings.process().dataCentre(), chooser, random),
					new UpstreamConnections(this.peers), TimeSource.ofSystem(), this.resources.metrics(),
					(input) -> inbox().put(input));
			this.duty = Duty.<EntryInput>builder("entry", this.core::handle)
				.tick(TICK_INTERVAL, this.core::tick)
				.start();
			this.resources.metrics().gauge("wire.sent.request.bytes", () -> this.peers.counters().requestBytes());
			this.resources.metrics().gauge("wire.sent.control.bytes", () -> this.peers.counters().controlBytes());
			this.resources.metrics().gauge("entry.ring.backlog", this.duty::backlog);
			this.resources.metrics().gauge("entry.in.flight", this.core::inFlight);
			this.resources.metrics().gauge("entry.connected.upstreams", this.core::connectedUpstreams);
			this.resources.metrics().gauge("configuration.version", this.core::configurationVersion);
			String processName = settings.process().name() + "." + Long.toHexString(incarnation);
			ObjectStore administrationStore = WriteResolvingStore.of(
					this.resources.store("administration", ADMINISTRATION_BUDGET), MAX_SETTLE_ATTEMPTS,
					ExponentialBackoff.PLATFORM, Delay.ofSystem(), random);
			this.administration = AdminApi.start(new AdminContext(administrationStore, () -> this.activeConfiguration,
					this::status, this.sidecarClient, ReconcilePolicy.ofDefaults(), administrationWriteIds(processName),
					Clock.systemDefaultZone()));
			this.evacuation = EvacuationDuty.start(new EvacuationDuty.Dependencies(settings.process().name(),
					processName, this.resources.store("evacuation", CallBudget.DUTY_HOLDER), this.resources.liveList(),
					this.sidecarClient, ReconcilePolicy.ofDefaults(), Clock.systemDefaultZone()));
			HttpLimits limits = HttpLimits.ofDefaults()
				.withMaxBodyBytes(settings.maxBodyBytes())
				.withReadTimeout(settings.readTimeout());
			this.operators = HttpServer.start(this.resources.eventLoopGroup(), settings.operators(), limits,
					new OperatorEndpoint(this.resources.metrics(), this::isReady, this.administration));
			this.callers = HttpServer.start(this.resources.eventLoopGroup(), settings.callers(), limits,
					new CallerHandler());
			this.peerPort = this.peers.listen(settings.peers());
			PlacementPoller.start(this.resources.store("placements", CallBudget.ENTRY), this.resources.eventLoopGroup(),
					(placements) -> inbox().offer(new EntryInput.PlacementsUpdated(placements)));
			this.configurations = ConfigurationPropagator.start(settings.process(), this.resources, toLiveInstance(),
					this.peers, random, new ConfigurationPropagator.Listener(this::adopt,
							(instances) -> inbox().offer(new EntryInput.InstancesListed(instances))));
		}
		catch (RuntimeException ex) {
			this.resources.close();
			throw ex;
		}
	}

	/**
	 * Starts an entry.
	 * @param settings the entry's settings
	 * @return the running entry
	 */
	public static EntryNode start(EntrySettings settings) {
		EntryNode node = new EntryNode(settings);
		logger.info("event=started role={} peers={} callers={} operators={}", ROLE, node.peerPort, node.callers.port(),
				node.operators.port());
		return node;
	}

	private static Supplier<String> administrationWriteIds(String processName) {
		AtomicLong counter = new AtomicLong();
		return () -> processName + "/administration-" + counter.incrementAndGet();
	}

	private byte[] status() {
		return EvacuationJson
			.write(new Status(this.settings.process().name().value(), this.settings.process().dataCentre().value(),
					isReady(), this.core.configurationVersion(), this.core.inFlight(), this.core.connectedUpstreams()));
	}

	private Duty<EntryInput> inbox() {
		return this.duty;
	}

	private void adopt(ActiveConfiguration next) {
		this.callerKeys = ApiKeys.of(next.configuration().organisations(), Organisation::keySha256);
		this.activeConfiguration = Optional.of(next);
		this.duty.put(new EntryInput.ConfigurationAdopted(next));
		this.evacuation.adopt(next.configuration());
	}

	/**
	 * Returns whether the entry accepts requests.
	 * @return whether it has a configuration and is not draining
	 */
	public boolean isReady() {
		return this.activeConfiguration.isPresent() && !this.draining;
	}

	/**
	 * Returns the number of configured upstreams whose sidecars are connected.
	 * @return the number of upstreams, or 0 while the entry is not ready
	 */
	public int connectedUpstreams() {
		return isReady() ? this.core.connectedUpstreams() : 0;
	}

	/**
	 * Returns the record of this process for the live list.
	 * @return the live instance
	 */
	public LiveInstance toLiveInstance() {
		return new LiveInstance(this.settings.process().name(), this.settings.process().dataCentre(), ROLE,
				this.settings.peers().getAddress().getHostAddress() + ":" + this.peerPort, false);
	}

	/**
	 * Returns the port for callers.
	 * @return the port
	 */
	public int callersPort() {
		return this.callers.port();
	}

	/**
	 * Returns the port for operators.
	 * @return the port
	 */
	public int operatorsPort() {
		return this.operators.port();
	}

	/**
	 * Refuses new requests and waits until all requests in flight have completed and
	 * their responses are written. A caller that does not read the end of its response
	 * delays this for a few seconds at most.
	 */
	public void drainAndWait() {
		this.draining = true;
		while (this.core.inFlight() > 0 || this.duty.backlog() > 0) {
			if (!pause()) {
				return;
			}
		}
		// The event loops write a response after the core has completed its request.
		long deadlineNanos = System.nanoTime() + LAST_WRITES_TIMEOUT.toNanos();
		while (busy() && System.nanoTime() < deadlineNanos) {
			if (!pause()) {
				return;
			}
		}
	}

	private boolean busy() {
		return this.callers.openExchanges() > 0 || this.core.inFlight() > 0 || this.duty.backlog() > 0;
	}

	private static boolean pause() {
		try {
			Thread.sleep(DRAIN_POLL_MILLIS);
			return true;
		}
		catch (InterruptedException ex) {
			Thread.currentThread().interrupt();
			return false;
		}
	}

	/**
	 * Returns the counters of bytes sent to other processes.
	 * @return the counters
	 */
	public WireCounters sentCounters() {
		return this.peers.counters();
	}

	@Override
	public void close() {
		this.configurations.close();
		this.evacuation.close();
		this.administration.close();
		this.callers.close();
		this.operators.close();
		this.peers.close();
		this.duty.close();
		this.resources.close();
	}

	/**
	 * The status that the entry reports to operators.
	 *
	 * @param name the process's name
	 * @param dataCentre the data centre in which the process runs
	 * @param ready whether the entry accepts requests
	 * @param configurationVersion the version of the active configuration; 0 if there is
	 * none
	 * @param inFlight the number of requests without a final response
	 * @param connectedUpstreams the number of upstreams whose sidecars are connected
	 */
	public record Status(String name, String dataCentre, boolean ready, long configurationVersion, int inFlight,
			int connectedUpstreams) {
	}

	private final class CallerHandler implements HttpHandler {

		@Override
		public void handle(HttpExchange exchange) {
			Optional<ActiveConfiguration> current = EntryNode.this.activeConfiguration;
			if (EntryNode.this.draining || current.isEmpty()) {
				ErrorCode code = EntryNode.this.draining ? ErrorCode.DRAINING : ErrorCode.NOT_READY;
				exchange.respond(ErrorReply.of(Verdict.ofNotRun(code),
						"this entry accepts no requests; try another entry", RETRY_AFTER_MILLIS));
				return;
			}
			try {
				accept(exchange);
			}
			catch (BulrushException ex) {
				exchange.respond(ErrorReply.of(ex));
			}
		}

		private void accept(HttpExchange exchange) {
			Organisation organisation = EntryNode.this.callerKeys.owner(exchange.header("Authorization"))
				.orElseThrow(() -> new BulrushException(ErrorCode.UNAUTHORISED, "the key is missing or unknown"));
			RequestSpec spec = CallParser.parse(exchange, organisation.id());
			long deadline = System.nanoTime() + CallParser.timeout(exchange).toNanos();
			if (!EntryNode.this.duty.offer(new EntryInput.CallReceived(exchange, spec, deadline))) {
				exchange.respond(ErrorReply.of(Verdict.ofNotRun(ErrorCode.OVERLOADED), "the entry is overloaded",
						RETRY_AFTER_MILLIS));
			}
		}

		@Override
		public void refuse(HttpExchange exchange, ErrorCode code) {
			exchange.respond(ErrorReply.ofNotRun(code, "the request is malformed or exceeds a limit"));
		}

	}

	private final class PeerListener implements PeerHandler {

		private boolean isSidecar(PeerConnection connection) {
			return connection.peer().role().equals(SidecarNode.ROLE);
		}

		private void withConfigurations(Consumer<ConfigurationPropagator> action) {
			Optional.ofNullable(EntryNode.this.configurations).ifPresent(action);
		}

		@Override
		public void connected(PeerConnection connection) {
			withConfigurations((propagator) -> propagator.peerConnected(connection));
			if (!isSidecar(connection)) {
				return;
			}
			EntryNode.this.sidecarClient.peerConnected(connection);
			EntryNode.this.duty.put(new EntryInput.PeerConnected(connection));
		}

		@Override
		public void received(PeerConnection connection, WireMessage message) {
			if (message instanceof WireMessage.Control control) {
				withConfigurations((propagator) -> propagator.handleMessage(connection, control));
				EntryNode.this.sidecarClient.handleMessage(control);
			}
			if (!isSidecar(connection)) {
				return;
			}
			EntryNode.this.duty.put(new EntryInput.MessageReceived(connection, message));
		}

		@Override
		public void closed(PeerConnection connection) {
			withConfigurations((propagator) -> propagator.peerDisconnected(connection));
			if (!isSidecar(connection)) {
				return;
			}
			EntryNode.this.sidecarClient.peerDisconnected(connection);
			EntryNode.this.duty.put(new EntryInput.PeerDisconnected(connection));
		}

	}

}
