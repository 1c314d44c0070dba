package io.bulrushrouter.gateway.forward;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.Set;
import java.util.concurrent.TimeUnit;
import java.util.random.RandomGenerator;

import io.netty.channel.EventLoop;
import io.netty.handler.codec.http.HttpResponse;

import io.bulrushrouter.gateway.admission.RetryBudget;
import io.bulrushrouter.gateway.admission.SpareRetries;
import io.bulrushrouter.gateway.admission.StreamAdmission;
import io.bulrushrouter.gateway.config.ActiveConfiguration;
import io.bulrushrouter.gateway.config.CallerLimits;
import io.bulrushrouter.gateway.config.EngineSpec;
import io.bulrushrouter.gateway.config.Route;
import io.bulrushrouter.gateway.config.RouteKind;
import io.bulrushrouter.gateway.config.ServiceSpec;
import io.bulrushrouter.gateway.config.WarmupSpec;
import io.bulrushrouter.gateway.membership.EntryMembership;
import io.bulrushrouter.gateway.quarantine.CrashEvidence;
import io.bulrushrouter.gateway.quarantine.Fingerprint;
import io.bulrushrouter.gateway.source.FreshnessProof;
import io.bulrushrouter.gateway.source.HeaderNames;
import io.bulrushrouter.gateway.source.UpstreamRecord;
import io.bulrushrouter.gateway.upstream.TokensInFlight;
import io.bulrushrouter.gateway.upstream.UpstreamDirectory;
import io.bulrushrouter.gateway.upstream.UpstreamNotices;
import io.bulrushrouter.gateway.upstream.UpstreamSelector;
import io.bulrushrouter.gateway.upstream.WarmFirst;
import io.bulrushrouter.kernel.TimeSource;

/**
 * State shared by all requests of a gateway. Accessed on the event loop only.
 */
public final class GatewayContext {

	/** A timer lets the event loop look at its connections before it is due. */
	private static final long READ_TURN_INTERVAL_MILLIS = 1;

	private final EventLoop loop;

	private final TimeSource clock;

	private final RandomGenerator random;

	private final HeaderNames headers;

	private ForwardSettings settings;

	private final UpstreamDirectory directory;

	private final UpstreamSelector upstreamSelector;

	private final FreshnessProof freshness;

	private final UpstreamConnectionPool pool;

	private final UpstreamMonitor monitor;

	private final WarmupCoordinator warmup;

	private final WarmFirst warmFirst;

	private final UpstreamNotices notices;

	private final UpstreamNoticeDecoder noticeDecoder;

	private final ForwardMetrics metrics;

	private final EntryMembership membership;

	private final CrashEvidence crashEvidence;

	private final CrashDetector crashDetector;

	private final MemoryLedger memory = new MemoryLedger(() -> settings().maxBufferedBytes());

	private final ReadTurns readTurns;

	private final TokensInFlight tokensInFlight = new TokensInFlight();

	private final SpareRetries spareRetries;

	private final Map<String, RetryBudget> retryBudgets = new HashMap<>();

	private final ServiceAdmissions admissions = new ServiceAdmissions(this);

	private ActiveConfiguration configuration;

	private int inFlight;

	private boolean draining;

	private boolean refusingRequests;

	/**
	 * Creates the context.
	 * @param loop the event loop
	 * @param clock the monotonic clock
	 * @param random the random source
	 * @param headers the names of the headers
	 * @param settings the limits
	 * @param directory the known upstreams
	 * @param upstreamSelector selects an upstream for each attempt
	 * @param freshness the proof of how recent the configuration is
	 * @param metrics the counters and timers
	 * @param membership the live entries
	 * @param crashEvidence what all entries know of crashes
	 * @param probePath the path at which an upstream answers a GET request without a slot
	 */
	public GatewayContext(EventLoop loop, TimeSource clock, RandomGenerator random, HeaderNames headers,
			ForwardSettings settings, UpstreamDirectory directory, UpstreamSelector upstreamSelector,
			FreshnessProof freshness, ForwardMetrics metrics, EntryMembership membership, CrashEvidence crashEvidence,
			String probePath) {
		this.loop = loop;
		this.clock = clock;
		this.random = random;
		this.headers = headers;
		this.settings = settings;
		this.directory = directory;
		this.upstreamSelector = upstreamSelector;
		this.freshness = freshness;
		this.metrics = metrics;
		this.membership = membership;
		this.spareRetries = SpareRetries.of(() -> membership.equalShare(settings.spareRetriesPerWindow()),
				this::nowNanos, settings.retryWindow().toMillis());
		this.crashEvidence = crashEvidence;
		this.readTurns = new ReadTurns((turn) -> loop.schedule(turn, READ_TURN_INTERVAL_MILLIS, TimeUnit.MILLISECONDS));
		this.notices = new UpstreamNotices(membership, random, this::warmupSpec);
		this.noticeDecoder = new UpstreamNoticeDecoder(headers);
		this.pool = new UpstreamConnectionPool(loop, clock, metrics.upstreamConnects(), this.memory,
				new MalformedResponses(metrics, clock), () -> settings().maxUpstreamConnections());
		this.warmup = new WarmupCoordinator(loop, clock, directory, this.notices.warmup(), this.pool, this::warmupSpec,
				this.noticeDecoder, metrics);
		this.warmFirst = new WarmFirst(upstreamSelector, this.notices.warmup(), membership::size);
		this.monitor = new UpstreamMonitor(loop, clock, this.pool, upstreamSelector,
				(upstream) -> this.warmup.probePath(upstream, probePath), this::recordNotice, this.warmup::cold,
				this.warmup::interrupted);
		this.crashDetector = new CrashDetector(loop, clock, this.pool, crashEvidence);
	}

	private Optional<WarmupSpec> warmupSpec(String service) {
		return configuration().flatMap((current) -> current.service(service)).flatMap(ServiceSpec::warmup);
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

	UpstreamSelector upstreamSelector() {
		return this.upstreamSelector;
	}

	FreshnessProof freshness() {
		return this.freshness;
	}

	UpstreamConnectionPool pool() {
		return this.pool;
	}

	UpstreamMonitor monitor() {
		return this.monitor;
	}

	UpstreamNotices notices() {
		return this.notices;
	}

	/**
	 * Returns whether an upstream has started so recently that it is slow.
	 * @param upstream the upstream
	 * @return whether it is cold, or assumed to be
	 */
	public boolean cold(UpstreamRecord upstream) {
		return this.notices.warmup().cold(upstream, nowNanos());
	}

	WarmupCoordinator warmup() {
		return this.warmup;
	}

	/**
	 * Returns the number of upstreams that are cold or assumed to be.
	 * @return the number
	 */
	public int coldUpstreams() {
		return this.notices.warmup().size();
	}

	CrashDetector crashDetector() {
		return this.crashDetector;
	}

	CrashEvidence crashEvidence() {
		return this.crashEvidence;
	}

	/**
	 * Records that the connection to an upstream was lost while a request was running and
	 * its response had hardly begun. The end of an upstream that leaves is no crash.
	 * @param upstream the upstream
	 * @param fingerprints the fingerprints of the request
	 */
	void recordLostConnection(UpstreamRecord upstream, List<Fingerprint> fingerprints) {
		if (this.directory.accepts(upstream.id()) && !this.notices.leaving(upstream)) {
			this.crashDetector.connectionLost(upstream, fingerprints);
		}
	}

	/**
	 * Returns how long all upstreams of a service want no requests from this entry.
	 * @param service the service
	 * @return the time in milliseconds, 0 if one of them takes requests
	 */
	long pausedMillis(String service) {
		return this.notices.pausedMillis(this.directory.ready(service), nowNanos());
	}

	/**
	 * Records what an upstream says about itself in a response.
	 * @param upstream the upstream to which the request was sent
	 * @param head the head of the response
	 */
	void recordNotice(UpstreamRecord upstream, HttpResponse head) {
		// A misdirected request was answered by another upstream.
		if (head.status().code() != ResponseRelay.MISDIRECTED_REQUEST) {
			this.notices.received(upstream, this.noticeDecoder.decode(head), nowNanos());
		}
	}

	/**
	 * Selects an upstream for an attempt.
	 * @param service the service
	 * @param tried the identifiers of the upstreams that the request was sent to before
	 * @param tokens the memory that the request takes at an engine
	 * @return the upstream, or empty if the request may be sent to none
	 */
	Optional<UpstreamRecord> selectUpstream(String service, Set<String> tried, EngineTokens tokens) {
		long nowNanos = nowNanos();
		this.directory.expire(nowNanos);
		List<UpstreamRecord> allowed = this.notices.allowed(this.directory.ready(service), nowNanos);
		return this.warmFirst.pick(tokens.fitting(allowed), tried, nowNanos);
	}

	/**
	 * Explains for each upstream of a service how it would take part in a choice now.
	 * @param service the service
	 * @return a line for each upstream, without its end
	 */
	List<String> explainUpstreams(String service) {
		return ChoiceExplainer.upstreams(this.directory.ready(service), this.notices, this.upstreamSelector,
				nowNanos());
	}

	/**
	 * Returns whether an upstream that was selected still takes the request.
	 * @param upstream the upstream
	 * @return whether it is listed and neither leaves nor wants no requests for a time
	 */
	boolean accepts(UpstreamRecord upstream) {
		return this.directory.accepts(upstream.id()) && this.notices.accepts(upstream, nowNanos());
	}

	ForwardMetrics metrics() {
		return this.metrics;
	}

	/**
	 * Records that this process is the first one of the entry.
	 */
	public void firstProcess() {
		this.spareRetries.firstProcess();
	}

	RetryBudget retryBudget(String service) {
		return this.retryBudgets.computeIfAbsent(service, (key) -> RetryBudget.of(this.settings.retryRatio(),
				this.spareRetries, this.settings.retryWindow().toMillis()));
	}

	/**
	 * Returns the admission of a service, with its limits set to the current number of
	 * slots.
	 * @param service the service
	 * @param route the route of the request
	 * @return the admission, or empty if the service has no model engines, the route is
	 * not a stream, or no upstream accepts requests, for which waiting would be in vain
	 */
	Optional<StreamAdmission<AdmissionTicket>> admission(String service, Route route) {
		if (route.kind() != RouteKind.STREAM || this.directory.ready(service).isEmpty()) {
			return Optional.empty();
		}
		return configuration().flatMap((current) -> this.admissions.find(service, current));
	}

	int slots(String service) {
		return this.directory.ready(service).stream().mapToInt(UpstreamRecord::slots).sum();
	}

	int entries() {
		return this.membership.size();
	}

	Optional<ActiveConfiguration> configuration() {
		return Optional.ofNullable(this.configuration);
	}

	CallerLimits limits() {
		return (this.configuration != null) ? this.configuration.limits() : CallerLimits.DEFAULTS;
	}

	/**
	 * Applies a configuration.
	 * @param configuration the configuration
	 */
	public void configuration(ActiveConfiguration configuration) {
		this.configuration = configuration;
	}

	/**
	 * Replaces the limits.
	 * @param settings the new limits
	 */
	public void settings(ForwardSettings settings) {
		this.settings = settings;
	}

	/**
	 * Returns whether requests can be served: a configuration is active and the list of
	 * upstreams is known.
	 * @return whether requests can be served
	 */
	public boolean serving() {
		return this.configuration != null && this.directory.known();
	}

	/**
	 * Returns the readiness of this gateway. Requests with a key are refused once the
	 * proof that keys are valid is too old, so a gateway whose configuration requires
	 * keys is then not ready.
	 * @return whether requests can be served, including those with a key
	 */
	public boolean ready() {
		return serving() && (keysVerified() || !this.configuration.requiresKeys());
	}

	/**
	 * Returns whether the keys of the configuration are known to be still valid.
	 * @return whether the freshness proof is recent enough
	 */
	boolean keysVerified() {
		return this.freshness.ageMillis() < this.settings.maxKeyProofAge().toMillis();
	}

	/**
	 * Removes expired upstreams and closes idle connections that cannot be reused.
	 */
	public void sweep() {
		this.directory.expire(nowNanos());
		this.directory.forgetOldDepartures(nowNanos());
		Set<String> listed = this.directory.identifiers();
		this.pool.sweep(listed);
		this.monitor.retain(listed);
		this.upstreamSelector.retain(listed);
		this.upstreamSelector.review(nowNanos());
		this.notices.retain(listed, nowNanos());
		this.warmup.sweep(listed);
		this.crashEvidence.expire(nowNanos());
	}

	MemoryLedger memory() {
		return this.memory;
	}

	ReadTurns readTurns() {
		return this.readTurns;
	}

	/**
	 * Returns how many connections of callers wait for their turn to be read, since what
	 * they send takes much work.
	 * @return the number
	 */
	public int waitingReads() {
		return this.readTurns.size();
	}

	/**
	 * Returns what all connections hold.
	 * @return the number of bytes
	 */
	public long heldBytes() {
		return this.memory.heldBytes();
	}

	/**
	 * Returns how many connections to upstreams are open.
	 * @return the number, with idle ones
	 */
	public int upstreamConnections() {
		return this.pool.connections();
	}

	/**
	 * Returns how many responses were cut because the memory bound was reached.
	 * @return the number since the start
	 */
	public long cutReaders() {
		return this.memory.cuts();
	}

	/**
	 * Returns how many connections of callers were evicted because of what they held
	 * unserved when the memory bound was reached.
	 * @return the number since the start
	 */
	public long evictedCallers() {
		return this.memory.evictions();
	}

	/**
	 * Returns how many requests with an ended response were dropped unread because the
	 * memory bound was reached.
	 * @return the number since the start
	 */
	public long droppedRequests() {
		return this.memory.drops();
	}

	/**
	 * Returns the memory that a request takes at an engine of a service.
	 * @param request the request
	 * @param service the service
	 * @return the account of the request
	 */
	EngineTokens engineTokens(CallerRequest request, String service) {
		OptionalLong capacity = configuration().flatMap((current) -> current.service(service))
			.flatMap(ServiceSpec::engine)
			.map(EngineSpec::kvCapacityTokens)
			.orElse(OptionalLong.empty());
		return new EngineTokens(this.tokensInFlight, request.header(this.headers.tokenCounts()), capacity);
	}

	void requestStarted() {
		this.inFlight++;
	}

	void requestEnded() {
		this.inFlight--;
	}

	/**
	 * Returns the number of requests in flight.
	 * @return the number
	 */
	public int inFlight() {
		return this.inFlight;
	}

	/**
	 * Starts draining: each connection is closed after the response to the last request
	 * that was read on it.
	 */
	public void drain() {
		this.draining = true;
	}

	boolean draining() {
		return this.draining;
	}

	/**
	 * Refuses new requests as not run, so that callers can retry them elsewhere.
	 */
	public void refuseRequests() {
		this.refusingRequests = true;
	}

	boolean refusingRequests() {
		return this.refusingRequests;
	}

}
