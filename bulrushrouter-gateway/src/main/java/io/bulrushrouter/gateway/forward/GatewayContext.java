package io.bulrushrouter.gateway.forward;

import java.util.HashMap;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.random.RandomGenerator;

import io.netty.channel.EventLoop;

import io.bulrushrouter.gateway.admission.AdmissionQueue;
import io.bulrushrouter.gateway.admission.ConcurrencyLimit;
import io.bulrushrouter.gateway.admission.RetryBudget;
import io.bulrushrouter.gateway.config.ActiveConfiguration;
import io.bulrushrouter.gateway.config.CallerLimits;
import io.bulrushrouter.gateway.config.Route;
import io.bulrushrouter.gateway.config.RouteKind;
import io.bulrushrouter.gateway.config.ServiceSpec;
import io.bulrushrouter.gateway.source.FreshnessProof;
import io.bulrushrouter.gateway.source.HeaderNames;
import io.bulrushrouter.gateway.source.UpstreamRecord;
import io.bulrushrouter.gateway.upstream.UpstreamDirectory;
import io.bulrushrouter.gateway.upstream.UpstreamSelector;
import io.bulrushrouter.kernel.TimeSource;

/**
 * What all requests of an entry share. Used on the event loop only.
 */
public final class GatewayContext {

	private final EventLoop loop;

	private final TimeSource clock;

	private final RandomGenerator random;

	private final HeaderNames headers;

	private ForwardSettings settings;

	private final UpstreamDirectory directory;

	private final UpstreamSelector choice;

	private final FreshnessProof freshness;

	private final UpstreamPool pool;

	private final ForwardMetrics metrics;

	private final Map<String, RetryBudget> retryAllowances = new HashMap<>();

	private final Map<String, AdmissionQueue<AdmissionTicket>> admissionLines = new HashMap<>();

	private ActiveConfiguration configuration;

	private long bufferedBytes;

	private int open;

	private boolean draining;

	private boolean refusing;

	/**
	 * Creates the context.
	 * @param loop the event loop
	 * @param clock the monotonic clock
	 * @param random the random source
	 * @param headers the headers' names
	 * @param settings the limits
	 * @param directory the upstreams that are there
	 * @param choice chooses among them
	 * @param freshness how old the configuration may be
	 * @param metrics the counters
	 */
	public GatewayContext(EventLoop loop, TimeSource clock, RandomGenerator random, HeaderNames headers,
			ForwardSettings settings, UpstreamDirectory directory, UpstreamSelector choice, FreshnessProof freshness,
			ForwardMetrics metrics) {
		this.loop = loop;
		this.clock = clock;
		this.random = random;
		this.headers = headers;
		this.settings = settings;
		this.directory = directory;
		this.choice = choice;
		this.freshness = freshness;
		this.metrics = metrics;
		this.pool = new UpstreamPool(loop, clock, metrics.upstreamConnects());
	}

	EventLoop loop() {
		return this.loop;
	}

	long nowNanos() {
		return this.clock.nanos();
	}

	RandomGenerator random() {
		return this.random;
	}

	HeaderNames headers() {
		return this.headers;
	}

	ForwardSettings settings() {
		return this.settings;
	}

	UpstreamDirectory directory() {
		return this.directory;
	}

	UpstreamSelector choice() {
		return this.choice;
	}

	FreshnessProof freshness() {
		return this.freshness;
	}

	UpstreamPool pool() {
		return this.pool;
	}

	ForwardMetrics metrics() {
		return this.metrics;
	}

	RetryBudget retryAllowance(String service) {
		return this.retryAllowances.computeIfAbsent(service, (key) -> RetryBudget.of(this.settings.retryRatio(),
				this.settings.retrySpare(), this.settings.retryWindow().toMillis()));
	}

	/**
	 * Returns the line of the streams to a service of model engines.
	 * @param service the service
	 * @param route the route of a stream
	 * @return the line, or empty if the service is a plain one
	 */
	Optional<AdmissionQueue<AdmissionTicket>> admissionLine(String service, Route route) {
		boolean engines = configuration().flatMap((known) -> known.service(service))
			.flatMap(ServiceSpec::engine)
			.isPresent();
		if (!engines || route.kind() != RouteKind.STREAM) {
			return Optional.empty();
		}
		AdmissionQueue<AdmissionTicket> line = this.admissionLines.computeIfAbsent(service,
				(key) -> new AdmissionQueue<>(new ConcurrencyLimit(route.objective().toMillis())));
		line.limit().slots(this.directory.ready(service).stream().mapToInt(UpstreamRecord::slots).sum());
		return Optional.of(line);
	}

	Optional<ActiveConfiguration> configuration() {
		return Optional.ofNullable(this.configuration);
	}

	CallerLimits limits() {
		return (this.configuration != null) ? this.configuration.limits() : CallerLimits.DEFAULTS;
	}

	/**
	 * Puts a configuration in force.
	 * @param configuration the configuration
	 */
	public void configuration(ActiveConfiguration configuration) {
		this.configuration = configuration;
	}

	/**
	 * Replaces the limits.
	 * @param settings the limits
	 */
	public void settings(ForwardSettings settings) {
		this.settings = settings;
	}

	/**
	 * Tells whether requests can be served: a configuration is in force and the list of
	 * upstreams is known.
	 * @return whether requests can be served
	 */
	public boolean serving() {
		return this.configuration != null && this.directory.known();
	}

	/**
	 * Tells whether callers are better off here than at another entry.
	 * @return whether requests can be served, also those with a key: these are refused
	 * once the proof that their keys are valid is too old
	 */
	public boolean ready() {
		return serving() && (keysProven() || !this.configuration.requiresKeys());
	}

	/**
	 * Tells whether the keys that the configuration holds are known to be still valid.
	 * @return whether the proof is young enough
	 */
	boolean keysProven() {
		return this.freshness.ageMillis() < this.settings.keyFreshness().toMillis();
	}

	/**
	 * Closes upstream connections that are of no more use.
	 */
	public void sweep() {
		this.directory.expire(nowNanos());
		Set<String> listed = this.directory.identifiers();
		this.pool.sweep(listed);
		this.choice.retain(listed);
	}

	boolean reserve(long bytes) {
		if (this.bufferedBytes + bytes > this.settings.mostBufferedBytes()) {
			return false;
		}
		this.bufferedBytes += bytes;
		return true;
	}

	void release(long bytes) {
		this.bufferedBytes -= bytes;
	}

	void opened() {
		this.open++;
	}

	void closed() {
		this.open--;
	}

	/**
	 * Returns the requests that are being served.
	 * @return the number
	 */
	public int open() {
		return this.open;
	}

	/**
	 * Makes each answer the last one on its connection.
	 */
	public void drain() {
		this.draining = true;
	}

	boolean draining() {
		return this.draining;
	}

	/**
	 * Refuses new requests as not run.
	 */
	public void refuse() {
		this.refusing = true;
	}

	boolean refusing() {
		return this.refusing;
	}

}
