package io.bulrushrouter.daemon.sidecar;

import java.time.Duration;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;
import java.util.random.RandomGenerator;
import java.util.stream.Collectors;

import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

import io.bulrushrouter.coordination.CallBudget;
import io.bulrushrouter.daemon.config.Organisation;
import io.bulrushrouter.daemon.node.DaemonResources;
import io.bulrushrouter.daemon.node.OperatorEndpoint;
import io.bulrushrouter.daemon.spread.ActiveConfiguration;
import io.bulrushrouter.daemon.spread.ConfigurationPropagator;
import io.bulrushrouter.http.HttpLimits;
import io.bulrushrouter.http.HttpServer;
import io.bulrushrouter.kernel.InstanceId;
import io.bulrushrouter.kernel.OrganisationId;
import io.bulrushrouter.kernel.TimeSource;
import io.bulrushrouter.kernel.UpstreamId;
import io.bulrushrouter.kernel.duty.Duty;
import io.bulrushrouter.kernel.store.LiveInstance;
import io.bulrushrouter.request.ClaimMessage;
import io.bulrushrouter.request.ClaimRouter;
import io.bulrushrouter.request.Claims;
import io.bulrushrouter.request.ClaimsPolicy;
import io.bulrushrouter.request.SidecarCalls;
import io.bulrushrouter.request.SidecarEvent;
import io.bulrushrouter.request.SidecarPolicy;
import io.bulrushrouter.routing.FairQueueSettings;
import io.bulrushrouter.routing.LoadTracker;
import io.bulrushrouter.wire.PeerConnection;
import io.bulrushrouter.wire.PeerHandler;
import io.bulrushrouter.wire.PeerNetwork;
import io.bulrushrouter.wire.WireCounters;
import io.bulrushrouter.wire.WireMessage;

/**
 * A sidecar process: connects the core, the engine client, the peers and the duties.
 */
public final class SidecarNode implements AutoCloseable {

	/** The role in the handshake with peers and on the live list. */
	public static final String ROLE = "sidecar";

	private static final Logger logger = LoggerFactory.getLogger(SidecarNode.class);

	private static final int NETWORK_THREADS = 2;

	private static final Duration TICK_INTERVAL = Duration.ofMillis(5);

	private static final long PROBE_INTERVAL_MILLIS = 250;

	/** The assumed capacity of an engine's prefix cache, in tokens. */
	private static final long PREFIX_CACHE_TOKENS = 60_000;

	private static final Duration CLAIM_TIMEOUT = Duration.ofSeconds(2);

	private static final long DRAIN_POLL_MILLIS = 20;

	/** How long a drained sidecar waits for entries to read the ends of responses. */
	private static final Duration LAST_WRITES_TIMEOUT = Duration.ofSeconds(5);

	private final SidecarSettings settings;

	private final DaemonResources resources;

	private final Duty<SidecarInput> duty;

	private final SidecarCore core;

	private final PeerNetwork peers;

	private final HttpServer operators;

	private final int peerPort;

	private final ConfigurationPropagator configurations;

	private volatile Map<OrganisationId, Double> weights = Map.of();

	private volatile boolean drained;

	private SidecarNode(SidecarSettings settings) {
		this.settings = settings;
		this.resources = DaemonResources.open(settings.process(), NETWORK_THREADS);
		try {
			RandomGenerator random = RandomGenerator.of("L64X128MixRandom");
			long incarnation = random.nextLong();
			this.core = createCore(incarnation);
			this.duty = Duty.<SidecarInput>builder("sidecar", this.core::handle)
				.tick(TICK_INTERVAL, this::tick)
				.start();
			WireMessage.Hello hello = new WireMessage.Hello(settings.process().name().value(),
					settings.upstream().value(), ROLE, settings.process().dataCentre().value(), incarnation);
			this.peers = PeerNetwork.of(this.resources.eventLoopGroup(), hello, new PeerListener(), random);
			this.operators = HttpServer.start(this.resources.eventLoopGroup(), settings.operators(),
					HttpLimits.ofDefaults(),
					new OperatorEndpoint(this.resources.metrics(), () -> !this.drained, OperatorEndpoint.ofNotFound()));
			this.peerPort = this.peers.listen(settings.peers());
			LiveInstance self = new LiveInstance(settings.process().name(), settings.process().dataCentre(), ROLE,
					settings.peers().getAddress().getHostAddress() + ":" + this.peerPort, false);
			this.configurations = ConfigurationPropagator.start(settings.process(), this.resources, self, this.peers,
					random, new ConfigurationPropagator.Listener(this::adopt, this::updateSidecars));
			this.resources.metrics().gauge("wire.sent.request.bytes", () -> this.peers.counters().requestBytes());
			this.resources.metrics().gauge("wire.sent.control.bytes", () -> this.peers.counters().controlBytes());
			this.resources.metrics().gauge("sidecar.ring.backlog", this.duty::backlog);
			this.resources.metrics().gauge("sidecar.in.flight", this.core::inFlight);
			probeUpstream();
		}
		catch (RuntimeException ex) {
			this.resources.close();
			throw ex;
		}
	}

	private SidecarCore createCore(long incarnation) {
		EngineClient engine = new EngineClient(this.resources.httpClient(), this.settings.url(),
				(event) -> this.duty.put(new SidecarInput.EventRaised(event)));
		SidecarCalls calls = SidecarCalls.ofClosed(incarnation, SidecarPolicy.of(this.settings.concurrency()),
				new FairCallQueue(queueSettings(), System.nanoTime()));
		Claims claims = Claims.builder(this.resources.store(), incarnation)
			.clock(TimeSource.ofSystem())
			.epochSeconds(() -> TimeUnit.MILLISECONDS.toSeconds(System.currentTimeMillis()))
			.executor(this::runOnDuty)
			.build();
		Optional<EngineOrderClient> orderClient = this.settings.service() ? Optional.empty()
				: Optional.of(new EngineOrderClient(this.resources.httpClient(), this.settings.url()));
		OrderHandler orders = new OrderHandler(this.resources.store("orders", CallBudget.SIDECAR), orderClient,
				this::runOnDuty);
		AttemptLoadTracker load = new AttemptLoadTracker(
				LoadTracker.of(incarnation, PREFIX_CACHE_TOKENS, System.nanoTime()));
		ClaimHandler claimHandler = new ClaimHandler(
				ClaimRouter.of(this.settings.upstream(), ClaimsPolicy.ofDefaults(), CLAIM_TIMEOUT), claims,
				TimeSource.ofSystem(), this::sendToSidecar, (attempt, outcome) -> this.duty
					.put(new SidecarInput.EventRaised(new SidecarEvent.ClaimSettled(attempt, outcome))));
		return new SidecarCore(incarnation, calls, engine, claimHandler, orders, load, TimeSource.ofSystem(),
				this.resources.metrics());
	}

	private FairQueueSettings queueSettings() {
		int slots = this.settings.concurrency();
		return this.settings.service() ? FairQueueSettings.ofService(slots, this::weight)
				: FairQueueSettings.of(slots, this::weight);
	}

	private void adopt(ActiveConfiguration next) {
		this.weights = next.configuration()
			.organisations()
			.stream()
			.collect(Collectors.toMap(Organisation::id, Organisation::weight));
	}

	private double weight(OrganisationId organisation) {
		return this.weights.getOrDefault(organisation, 1.0);
	}

	private void sendToSidecar(UpstreamId sidecar, ClaimMessage message) {
		this.configurations.send(InstanceId.of(sidecar.value()), ClaimMessageCodec.encode(message));
	}

	private void updateSidecars(List<LiveInstance> instances) {
		this.duty.offer(new SidecarInput.SidecarsListed(instances.stream()
			.filter((instance) -> instance.role().equals(ROLE) && !instance.leaving())
			.map((instance) -> UpstreamId.of(instance.instance().value()))
			.toList()));
	}

	private void runOnDuty(Runnable action) {
		this.duty.put(new SidecarInput.TaskSubmitted(action));
	}

	/**
	 * Starts a sidecar.
	 * @param settings the sidecar's settings
	 * @return the running sidecar
	 */
	public static SidecarNode start(SidecarSettings settings) {
		SidecarNode node = new SidecarNode(settings);
		logger.info("event=started role={} upstream={} peers={} operators={}", ROLE, settings.upstream(), node.peerPort,
				node.operators.port());
		return node;
	}

	private void tick() {
		this.core.tick();
		this.drained = this.core.isDrained();
	}

	private void probeUpstream() {
		String path = this.settings.service() ? "/health" : "/load";
		this.resources.httpClient()
			.send("GET", "http://" + this.settings.url().getAuthority() + path, Map.of(), new byte[0],
					new ProbeListener(this::handleProbeResult));
	}

	private void handleProbeResult(boolean answered, Optional<SidecarInput.EngineLoadReported> load) {
		this.duty.offer(new SidecarInput.HealthProbed(answered));
		load.ifPresent(this.duty::offer);
		if (!this.resources.eventLoopGroup().isShuttingDown()) {
			this.resources.eventLoopGroup().schedule(this::probeUpstream, PROBE_INTERVAL_MILLIS, TimeUnit.MILLISECONDS);
		}
	}

	/**
	 * Returns the port for entries and other sidecars.
	 * @return the port
	 */
	public int peerPort() {
		return this.peerPort;
	}

	/**
	 * Returns the port for metrics and health.
	 * @return the port
	 */
	public int operatorsPort() {
		return this.operators.port();
	}

	/**
	 * Starts to drain the sidecar, as its upstream is leaving: no new requests are
	 * admitted.
	 */
	public void drain() {
		this.duty.put(new SidecarInput.EventRaised(new SidecarEvent.DrainRequested()));
	}

	/**
	 * Returns whether the sidecar is draining and all requests have completed.
	 * @return whether the process may end
	 */
	public boolean isDrained() {
		return this.drained;
	}

	/**
	 * Drains the sidecar and waits without a limit until all requests in flight have
	 * completed.
	 */
	public void drainAndWait() {
		drain();
		long nextWarningNanos = System.nanoTime() + this.settings.drainWarningInterval().toNanos();
		while (!this.drained) {
			if (System.nanoTime() > nextWarningNanos) {
				logger.warn("event=drain-pending upstream={} in-flight={}", this.settings.upstream(),
						this.core.inFlight());
				nextWarningNanos += this.settings.drainWarningInterval().toNanos();
			}
			try {
				Thread.sleep(DRAIN_POLL_MILLIS);
			}
			catch (InterruptedException ex) {
				Thread.currentThread().interrupt();
				return;
			}
		}
		// The event loops may still have to write the ends of the last responses.
		this.peers.awaitWritten(LAST_WRITES_TIMEOUT);
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
		this.peers.close();
		this.operators.close();
		this.duty.close();
		this.resources.close();
	}

	private final class PeerListener implements PeerHandler {

		private void withConfigurations(Consumer<ConfigurationPropagator> action) {
			Optional.ofNullable(SidecarNode.this.configurations).ifPresent(action);
		}

		@Override
		public void connected(PeerConnection connection) {
			withConfigurations((propagator) -> propagator.peerConnected(connection));
			SidecarNode.this.duty.put(new SidecarInput.PeerConnected(connection));
		}

		@Override
		public void received(PeerConnection connection, WireMessage message) {
			if (message instanceof WireMessage.Control control) {
				withConfigurations((propagator) -> propagator.handleMessage(connection, control));
			}
			SidecarNode.this.duty.put(new SidecarInput.MessageReceived(connection, message));
		}

		@Override
		public void closed(PeerConnection connection) {
			withConfigurations((propagator) -> propagator.peerDisconnected(connection));
			SidecarNode.this.duty.put(new SidecarInput.PeerDisconnected(connection));
		}

	}

}
