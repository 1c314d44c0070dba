package io.bulrushrouter.gateway.node;

import java.net.InetSocketAddress;
import java.time.Duration;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import java.util.random.RandomGenerator;

import io.micrometer.core.instrument.Counter;
import io.micrometer.prometheusmetrics.PrometheusConfig;
import io.micrometer.prometheusmetrics.PrometheusMeterRegistry;
import io.netty.channel.EventLoop;
import io.netty.channel.nio.NioEventLoopGroup;
import io.netty.util.concurrent.DefaultThreadFactory;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

import io.bulrushrouter.gateway.config.GatewayConfiguration;
import io.bulrushrouter.gateway.forward.CallerServer;
import io.bulrushrouter.gateway.forward.ChoiceExplainer;
import io.bulrushrouter.gateway.forward.ForwardMetrics;
import io.bulrushrouter.gateway.forward.GatewayContext;
import io.bulrushrouter.gateway.membership.EntryMembership;
import io.bulrushrouter.gateway.quarantine.CrashEvidence;
import io.bulrushrouter.gateway.source.FeedCounters;
import io.bulrushrouter.gateway.source.FeedFollower;
import io.bulrushrouter.gateway.source.FeedResult.Item;
import io.bulrushrouter.gateway.source.FleetSource;
import io.bulrushrouter.gateway.source.FreshnessProof;
import io.bulrushrouter.gateway.source.UpstreamRecord;
import io.bulrushrouter.gateway.upstream.EvacuatedDataCentres;
import io.bulrushrouter.gateway.upstream.UpstreamDirectory;
import io.bulrushrouter.gateway.upstream.UpstreamSelector;
import io.bulrushrouter.kernel.BulrushException;
import io.bulrushrouter.kernel.ErrorCode;
import io.bulrushrouter.kernel.TimeSource;
import io.bulrushrouter.kernel.plugin.PluginRegistry;

/**
 * A running gateway entry. A single event loop does all of its work.
 */
public final class Gateway implements AutoCloseable {

	private static final Logger logger = LoggerFactory.getLogger(Gateway.class);

	/** Interval of the check for slow callers, idle connections and lapsed entries. */
	private static final long SWEEP_INTERVAL_MILLIS = 500;

	/**
	 * Timeout of a watch. Two watches and the transit time of an answer must fit into the
	 * time within which a revoked key must be refused and a silent connection detected.
	 */
	private static final Duration WATCH_TIMEOUT = Duration.ofMillis(1_500);

	/**
	 * Minimum time from one watch to the next. It is short beside the time in which a
	 * change must take effect, which is some seconds.
	 */
	private static final Duration MIN_WATCH_INTERVAL = Duration.ofMillis(300);

	private final GatewaySettings settings;

	private final NioEventLoopGroup group;

	private final EventLoop loop;

	private final TimeSource clock = TimeSource.ofSystem();

	private final PrometheusMeterRegistry registry = new PrometheusMeterRegistry(PrometheusConfig.DEFAULT);

	private final EvacuatedDataCentres evacuated;

	private final UpstreamDirectory directory;

	private final FreshnessProof freshness = new FreshnessProof(this.clock, System::currentTimeMillis);

	private final EntryMembership membership;

	private final GatewayContext context;

	private final CallerServer callers;

	private final StatusServer readiness;

	private final StatusServer metrics;

	private final FleetSource source;

	private final FeedFollower<GatewayConfiguration> configurations;

	private final FeedFollower<UpstreamRecord> upstreams;

	private final EvacuationFollower evacuations;

	private final MembershipDuty membershipDuty;

	private final CrashReporter crashReporter;

	private final FeedCounters feedCounters = new FeedCounters();

	private final Counter restorations;

	private final CompletableFuture<Void> stopped = new CompletableFuture<>();

	private final GracefulShutdown shutdown;

	private final ConfigurationAdoption adoption;

	private boolean wasReady;

	private Gateway(GatewaySettings settings, PluginRegistry plugins, RandomGenerator random) {
		this.settings = settings;
		this.group = new NioEventLoopGroup(1, new DefaultThreadFactory("gateway"));
		this.loop = this.group.next();
		// Without its event loop the process cannot serve, nor stop in an orderly way.
		this.loop.terminationFuture().addListener((ended) -> this.stopped.complete(null));
		this.membership = new EntryMembership(settings.instance());
		this.evacuated = settings.evacuation().isPresent() ? EvacuatedDataCentres.ofUnknown()
				: EvacuatedDataCentres.ofNone();
		this.directory = new UpstreamDirectory(this.evacuated);
		CrashEvidence crashEvidence = new CrashEvidence(settings.instance(), random.nextLong(),
				this.membership::position);
		FleetSource.Factory factory = plugins.require(FleetSource.Factory.class, settings.source());
		UpstreamSelector selector = new UpstreamSelector(settings.dataCentre(), random, this::cold);
		this.context = new GatewayContext(this.loop, this.clock, random, factory.headers(), settings.forward(),
				this.directory, selector, this.freshness, new ForwardMetrics(this.registry), this.membership,
				crashEvidence, factory.probePath());
		this.adoption = new ConfigurationAdoption(this.context::configuration, this.freshness, this.clock);
		this.callers = new CallerServer(this.context, settings.maxConnections());
		this.readiness = new StatusServer(this.loop, this::readinessPage);
		MetricsPage metricsPage = new MetricsPage(this.registry, () -> selector.capacities(this.clock.nanos()));
		ExplainPage explainPage = new ExplainPage((query) -> new ChoiceExplainer(this.context).explain(query));
		this.metrics = new StatusServer(this.loop,
				(uri) -> ExplainPage.matches(uri) ? explainPage.page(uri) : metricsPage.page());
		this.source = factory.connect(settings.store().getHostString(), settings.store().getPort(), this.group);
		this.configurations = FeedFollower.builder("configuration", this.source.configuration(), this.adoption)
			.watchTimeout(WATCH_TIMEOUT)
			.minWatchInterval(MIN_WATCH_INTERVAL)
			.loop(this.loop)
			.random(random)
			.counters(this.feedCounters)
			.build();
		this.upstreams = FeedFollower.builder("upstreams", this.source.upstreams(), new UpstreamListener())
			.watchTimeout(WATCH_TIMEOUT)
			.minWatchInterval(MIN_WATCH_INTERVAL)
			.loop(this.loop)
			.random(random)
			.counters(this.feedCounters)
			.build();
		this.evacuations = new EvacuationFollower(this.loop, random, this.source.evacuations(), this.evacuated,
				settings.evacuation(), this.feedCounters);
		this.membershipDuty = new MembershipDuty(this.loop, settings.instance(), this.source.entries(), this.membership,
				random, this.context::firstProcess);
		this.crashReporter = new CrashReporter(this.loop, this.clock, random, settings.instance(),
				this.source.crashReports(), crashEvidence, this.feedCounters);
		this.shutdown = new GracefulShutdown(this.loop, this.context, this.callers, settings.grace(), this.stopped);
		this.restorations = this.registry.counter("bulrush.gateway.store.restorations");
		this.registry.gauge("bulrush.gateway.open", this.context, GatewayContext::inFlight);
		this.registry.gauge("bulrush.gateway.store.calls", this.source, FleetSource::calls);
		this.registry.gauge("bulrush.gateway.store.ignored.objects", this.source, FleetSource::ignoredObjects);
		this.registry.gauge("bulrush.gateway.store.feed.errors", this.feedCounters, FeedCounters::errors);
		this.registry.gauge("bulrush.gateway.store.lost.connections", this.feedCounters, FeedCounters::lostConnections);
		this.registry.gauge("bulrush.gateway.store.outages", this.feedCounters, FeedCounters::outages);
		this.registry.gauge("bulrush.gateway.store.large.answers", this.feedCounters, FeedCounters::largeAnswers);
		this.registry.gauge("bulrush.gateway.configuration", this.adoption, ConfigurationAdoption::version);
		this.registry.gauge("bulrush.gateway.crash.suspects", crashEvidence, CrashEvidence::suspects);
		this.registry.gauge("bulrush.gateway.crash.quarantines", crashEvidence, CrashEvidence::quarantines);
		this.registry.gauge("bulrush.gateway.crash.cleared", crashEvidence, CrashEvidence::clearedFingerprints);
		this.registry.gauge("bulrush.gateway.held.bytes", this.context, GatewayContext::heldBytes);
		this.registry.gauge("bulrush.gateway.readers.cut", this.context, GatewayContext::cutReaders);
		this.registry.gauge("bulrush.gateway.callers.evicted", this.context, GatewayContext::evictedCallers);
		this.registry.gauge("bulrush.gateway.callers.waiting.reads", this.context, GatewayContext::waitingReads);
		this.registry.gauge("bulrush.gateway.unread.requests.dropped", this.context, GatewayContext::droppedRequests);
		this.registry.gauge("bulrush.gateway.evacuated.data.centres", this.evacuated, EvacuatedDataCentres::size);
		this.registry.gauge("bulrush.gateway.cold.upstreams", this.context, GatewayContext::coldUpstreams);
		this.registry.gauge("bulrush.gateway.upstream.connections", this.context, GatewayContext::upstreamConnections);
		this.registry.gauge("bulrush.gateway.callers", this.callers, CallerServer::connections);
	}

	/**
	 * Starts an entry.
	 * @param settings the settings
	 * @param plugins the plug-ins, with the one that the settings name as source
	 * @param random the random source
	 * @return the running entry
	 */
	public static Gateway start(GatewaySettings settings, PluginRegistry plugins, RandomGenerator random) {
		Gateway gateway = new Gateway(settings, plugins, random);
		gateway.callers.listen(settings.callers());
		gateway.readiness.listen(settings.readiness());
		gateway.metrics.listen(settings.metrics());
		gateway.loop.execute(() -> {
			gateway.configurations.start();
			gateway.upstreams.start();
			gateway.evacuations.start();
			gateway.membershipDuty.start();
			gateway.crashReporter.start();
		});
		gateway.loop.scheduleWithFixedDelay(gateway::sweep, SWEEP_INTERVAL_MILLIS, SWEEP_INTERVAL_MILLIS,
				TimeUnit.MILLISECONDS);
		logger.info("event=started instance={} data-centre={} callers={} store={}", settings.instance(),
				settings.dataCentre(), settings.callers(), settings.store());
		return gateway;
	}

	private boolean cold(UpstreamRecord upstream) {
		return this.context.cold(upstream);
	}

	private StatusServer.Page readinessPage(String path) {
		boolean ready = this.context.ready() && !this.shutdown.requested();
		if (ready != this.wasReady) {
			this.wasReady = ready;
			logger.info("event=readiness ready={} stopping={} serving={} proof-age-ms={}", ready,
					this.shutdown.requested(), this.context.serving(), this.freshness.ageMillis());
		}
		return new StatusServer.Page(ready ? 200 : 503, ready ? "ready\n" : "not ready\n");
	}

	// A periodic task that throws is not run again.
	private void sweep() {
		try {
			this.context.sweep();
			this.callers.sweep(this.clock.nanos());
		}
		catch (RuntimeException ex) {
			logger.error("event=sweep-failed detail=\"{}\"", ex.toString(), ex);
		}
	}

	/**
	 * Begins a graceful shutdown, which finishes the requests in flight.
	 */
	public void stop() {
		this.loop.execute(this.shutdown::start);
	}

	/**
	 * Applies reloaded settings. Changed addresses take effect only when the process
	 * restarts.
	 * @param newSettings the reloaded settings
	 */
	public void reload(GatewaySettings newSettings) {
		this.loop.execute(() -> {
			this.context.settings(newSettings.forward());
			this.shutdown.grace(newSettings.grace());
		});
	}

	/**
	 * Blocks until the entry has stopped.
	 * @throws BulrushException if its event loop has ended before a stop
	 */
	public void awaitStopped() {
		this.stopped.join();
		if (this.loop.isTerminated()) {
			throw new BulrushException(ErrorCode.INTERNAL, "the event loop has ended");
		}
	}

	/**
	 * Returns the address on which callers connect.
	 * @return the address
	 */
	public InetSocketAddress callersAddress() {
		return this.settings.callers();
	}

	@Override
	public void close() {
		this.configurations.close();
		this.upstreams.close();
		this.evacuations.close();
		this.membershipDuty.close();
		this.crashReporter.close();
		this.callers.close();
		this.readiness.close();
		this.metrics.close();
		this.source.close();
		this.group.shutdownGracefully(0, 100, TimeUnit.MILLISECONDS);
	}

	/**
	 * Keeps the directory of upstreams up to date.
	 */
	private final class UpstreamListener implements FeedFollower.Listener<UpstreamRecord> {

		@Override
		public void listed(List<Item<UpstreamRecord>> items, long requestedNanos) {
			log(items);
			Gateway.this.directory.replace(items, Gateway.this.clock.nanos());
		}

		@Override
		public void changed(List<Item<UpstreamRecord>> changes, long requestedNanos) {
			log(changes);
			Gateway.this.directory.change(changes, Gateway.this.clock.nanos());
		}

		private void log(List<Item<UpstreamRecord>> items) {
			items.stream()
				.filter((item) -> item.value().isPresent() || Gateway.this.directory.find(item.name()).isPresent())
				.forEach((item) -> logger.info("event=upstream id={} state={} service={} address={}", item.name(),
						item.value().map((record) -> record.leaving() ? "leaving" : "ready").orElse("gone"),
						item.value().map(UpstreamRecord::service).orElse("-"),
						item.value().map((record) -> record.address().toString()).orElse("-")));
		}

		@Override
		public void restored() {
			Gateway.this.directory.storeRestored();
			Gateway.this.restorations.increment();
		}

		@Override
		public void unavailable() {
			Gateway.this.directory.storeLost();
		}

	}

}
