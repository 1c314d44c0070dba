package io.bulrushrouter.ranks;

import java.net.InetSocketAddress;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.Set;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionStage;
import java.util.concurrent.Future;
import java.util.concurrent.TimeUnit;
import java.util.random.RandomGenerator;

import io.netty.channel.EventLoop;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

import io.bulrushrouter.experts.live.ChoiceSample;
import io.bulrushrouter.experts.live.GroupSwitch;
import io.bulrushrouter.experts.live.GroupView;
import io.bulrushrouter.experts.live.HoldDistance;
import io.bulrushrouter.experts.live.OrderResult;
import io.bulrushrouter.experts.live.PlacementPlan;
import io.bulrushrouter.experts.live.RankCommand;
import io.bulrushrouter.experts.live.RankOrder;
import io.bulrushrouter.experts.live.RankStatus;
import io.bulrushrouter.gateway.config.EngineSpec;
import io.bulrushrouter.gateway.source.UpstreamRecord;
import io.bulrushrouter.kernel.TimeSource;

/**
 * Leads one rank group by sending orders to its ranks. The sidecar of rank 0 balances the
 * experts of the group; the sidecar of any other rank only releases the group if the
 * leader fails while the group is held. A sidecar acquires a fencing token before it
 * leads, and its term ends when a rank has seen a higher token.
 */
final class Balancer {

	private static final Logger logger = LoggerFactory.getLogger(Balancer.class);

	/** Poll interval while no switch is in progress. */
	private static final long POLL_INTERVAL_MILLIS = 100;

	/**
	 * Longest poll interval of a leader while no switch is in progress. It also polls
	 * after each collection of choices, which is more often. The other sidecars take over
	 * a group whose leader is silent for a second.
	 */
	private static final long LEADER_POLL_INTERVAL_MILLIS = 500;

	/** Poll interval while a switch is in progress. */
	private static final long SWITCH_POLL_INTERVAL_MILLIS = 60;

	/** Poll interval while the group is held. */
	private static final long HELD_POLL_INTERVAL_MILLIS = 5;

	/**
	 * Delay after the sidecar of a rank other than 0 has released the group: the status
	 * that it reads from rank 0 on another instance is a few hundred milliseconds old.
	 */
	private static final long REMOTE_RELEASE_DELAY_MILLIS = 300;

	/** Delay after the store issued no token; the store limits the rate of calls. */
	private static final long TOKEN_RETRY_DELAY_MILLIS = 500;

	/**
	 * Time that a sidecar which recovers a group waits for the leader's report once it
	 * has asked; the leader was silent for longer before.
	 */
	private static final long LEADER_REPORT_TIMEOUT_MILLIS = 100;

	/** Delay before the next attempt to recover a stalled group. */
	private static final long RECOVERY_RETRY_DELAY_MILLIS = 250;

	/** The minimum time between two log lines about rounds without a result. */
	private static final long FAILURE_LOG_INTERVAL_NANOS = TimeUnit.SECONDS.toNanos(1);

	private static final int MAX_MISSING_LOGGED = 5;

	/**
	 * Time that a stopping sidecar has to finish a switch. It is shorter than the grace
	 * period of a stop, which is a few seconds; afterwards another sidecar recovers the
	 * group.
	 */
	private static final long STOP_TIMEOUT_MILLIS = 2_500;

	private final EventLoop loop;

	private final TimeSource clock = TimeSource.ofSystem();

	private final RankReporter ownReporter;

	private final PeerRelay relay;

	private final RankEngine engine;

	private final RankSource source;

	private final String holder;

	private final FleetView fleet;

	private final PeerClients peers;

	private final DemandCollector demandCollector;

	private final Map<InetSocketAddress, RankConnection> connections = new HashMap<>();

	/** Connections to ranks that were last seen in other groups of the service. */
	private final Set<RankConnection> otherGroupConnections = new HashSet<>();

	private final MapProposer mapProposer = new MapProposer(this.clock);

	private final StallDetector stallDetector = new StallDetector();

	private final HoldDistance holdDistance = new HoldDistance();

	private final CompletableFuture<Void> stopped = new CompletableFuture<>();

	private final RetryingOrderSender ownOrderSender;

	private final OrderDispatcher orderDispatcher;

	private Optional<LeadershipTerm> currentTerm = Optional.empty();

	/**
	 * Forward pass at which another sidecar took over, if the group has not moved on.
	 */
	private OptionalLong supersededStep = OptionalLong.empty();

	/**
	 * The connection to the rank of a failed leader, which a sidecar that recovers the
	 * group no longer asks.
	 */
	private Optional<RankConnection> missingLeader = Optional.empty();

	private boolean stopping;

	private Optional<Future<?>> nextPoll = Optional.empty();

	private long nextFailureLogNanos = this.clock.nanos();

	Balancer(EventLoop loop, RankSource source, FleetView fleet, RankSettings settings, RandomGenerator random) {
		this.loop = loop;
		this.source = source;
		this.engine = source.engine();
		this.ownReporter = new RankReporter(this.engine, this.clock);
		this.ownOrderSender = new RetryingOrderSender(this.engine, loop);
		this.orderDispatcher = new OrderDispatcher(this.ownOrderSender);
		this.fleet = fleet;
		this.holder = settings.instance() + "/" + random.nextLong();
		this.peers = new PeerClients(loop, settings.peerPort());
		this.relay = new PeerRelay(this.peers, this.ownReporter,
				(request) -> this.ownOrderSender.send(request.order().decode(), request.epoch(), request.fence()),
				random);
		this.demandCollector = new DemandCollector(loop, this.clock, this.ownReporter, settings.linkBytesPerSecond(),
				this::observeChoices);
	}

	void start() {
		poll();
	}

	/**
	 * Returns the status of this sidecar's rank to the leader of the group.
	 * @param request the request of the leader
	 * @return the response
	 */
	CompletionStage<PeerMessage.StatusResponse> status(PeerMessage.StatusRequest request) {
		this.stallDetector.recordRequest(this.clock.nanos());
		return this.ownReporter.report()
			.thenApply((report) -> new PeerMessage.StatusResponse(request.id(), report.map(RankReport::status),
					report.filter((known) -> !isKnown(request, known.status())).map(RankReport::experts)));
	}

	private static boolean isKnown(PeerMessage.StatusRequest request, RankStatus status) {
		return request.knownEpoch() == status.epoch() && request.knownMap() == status.map();
	}

	/**
	 * Returns recent choices to the leader of the group.
	 * @param request the request of the leader
	 * @return the response
	 */
	CompletionStage<PeerMessage.ChoicesResponse> choices(PeerMessage.ChoicesRequest request) {
		this.stallDetector.recordRequest(this.clock.nanos());
		return this.relay.choices(request).thenApply((sample) -> new PeerMessage.ChoicesResponse(request.id(), sample));
	}

	/**
	 * Executes an order of the group's leader.
	 * @param request the order
	 * @return the response
	 */
	CompletionStage<PeerMessage.OrderResponse> executeOrder(PeerMessage.OrderRequest request) {
		return this.relay.order(request).thenApply((results) -> new PeerMessage.OrderResponse(request.id(), results));
	}

	/**
	 * Finishes the switch in progress, if any, and starts no other.
	 * @return a stage that completes when the group no longer needs this sidecar, or
	 * after a timeout
	 */
	CompletionStage<Void> stop() {
		this.stopping = true;
		if (this.currentTerm.isEmpty()) {
			this.stopped.complete(null);
		}
		this.loop.schedule(() -> {
			if (this.stopped.complete(null)) {
				logger.warn("event=stopped-during-switch reason=\"switch not finished within {} ms\"",
						STOP_TIMEOUT_MILLIS);
			}
		}, STOP_TIMEOUT_MILLIS, TimeUnit.MILLISECONDS);
		return this.stopped;
	}

	// Each poll schedules exactly one next poll, also after a failure.
	private void poll() {
		this.nextPoll = Optional.empty();
		if (this.stopped.isDone()) {
			return;
		}
		CompletableFuture.completedStage(null)
			.thenCompose((start) -> this.engine.status())
			.thenCompose((status) -> status.map(this::handleStatus).orElseGet(() -> pollAfter(POLL_INTERVAL_MILLIS)))
			.whenComplete((millis, failure) -> {
				if (failure != null) {
					logger.error("event=balancing-failed detail=\"{}\"", failure.toString(), failure);
				}
				long delayMillis = (failure != null) ? POLL_INTERVAL_MILLIS : millis;
				this.nextPoll = Optional.of(this.loop.schedule(this::poll, delayMillis, TimeUnit.MILLISECONDS));
			});
	}

	private void pollSoon() {
		boolean idle = this.currentTerm.filter((term) -> term.groupSwitch().idle()).isPresent();
		if (idle && this.nextPoll.filter((scheduled) -> scheduled.cancel(false)).isPresent()) {
			poll();
		}
	}

	private static CompletionStage<Long> pollAfter(long millis) {
		return CompletableFuture.completedStage(millis);
	}

	private CompletionStage<Long> handleStatus(RankStatus status) {
		if (status.size() < 2 || !status.open()) {
			return pollAfter(POLL_INTERVAL_MILLIS);
		}
		this.currentTerm.filter((term) -> !term.isValidFor(status))
			.ifPresent((term) -> endTerm(term, "the epoch or rank has changed"));
		if (this.currentTerm.isPresent()) {
			return runRound(this.currentTerm.get(), status);
		}
		if (this.stopping) {
			this.stopped.complete(null);
			return pollAfter(POLL_INTERVAL_MILLIS);
		}
		if (StallDetector.mayBeHeldSoon(status)) {
			this.fleet.start();
		}
		boolean stalled = this.stallDetector.shouldTakeOver(status, this.clock.nanos());
		if (status.rank() == GroupView.LEADER_RANK && !defersToNewLeader(status)) {
			return acquireLeadership(status);
		}
		return stalled ? recover(status) : pollAfter(this.stallDetector.pollIntervalMillis());
	}

	// Two sidecars that kept taking the leadership from each other would never release
	// the group.
	private boolean defersToNewLeader(RankStatus status) {
		if (this.supersededStep.isPresent() && this.supersededStep.getAsLong() != status.step()) {
			this.supersededStep = OptionalLong.empty();
		}
		return this.supersededStep.isPresent();
	}

	// Leadership is acquired only if all ranks but that of the failed leader answer, as a
	// leader decides orders from their reports.
	private CompletionStage<Long> recover(RankStatus status) {
		this.fleet.start();
		this.missingLeader = Optional.empty();
		return collectReports(status, OptionalLong.of(LEADER_REPORT_TIMEOUT_MILLIS)).thenCompose((reports) -> {
			if (reports.isEmpty()) {
				logger.info(
						"event=group-stalled group={} epoch={} step={} action=none reason=\"not all ranks answered\"",
						status.group(), status.epoch(), status.step());
				return pollAfter(RECOVERY_RETRY_DELAY_MILLIS);
			}
			this.missingLeader = findMissingLeader(reports.get());
			boolean held = reports.get().view().held().isPresent();
			return held ? acquireLeadership(status) : pollAfter(RECOVERY_RETRY_DELAY_MILLIS);
		});
	}

	private Optional<RankConnection> findMissingLeader(GroupReports reports) {
		if (reports.view().complete()) {
			return Optional.empty();
		}
		return connectionsToOtherRanks().stream()
			.filter((connection) -> !reports.connections().containsValue(connection))
			.findFirst();
	}

	private CompletionStage<Long> acquireLeadership(RankStatus status) {
		this.fleet.start();
		return this.source.acquireFencingToken(status.group(), this.holder).thenApply((token) -> {
			if (token.isEmpty()) {
				logger.warn("event=leadership-not-acquired group={} reason=\"the store issued no fencing token\"",
						status.group());
				return TOKEN_RETRY_DELAY_MILLIS;
			}
			LeadershipTerm term = LeadershipTerm.of(status, token.getAsLong());
			this.currentTerm = Optional.of(term);
			logger.info("event=leadership-acquired group={} epoch={} rank={} step={} fence={} role={}", term.group(),
					term.epoch(), status.rank(), status.step(), term.fence(), term.balancing() ? "balance" : "recover");
			return HELD_POLL_INTERVAL_MILLIS;
		});
	}

	private void endTerm(LeadershipTerm term, String reason) {
		logger.info("event=leadership-ended group={} epoch={} fence={} reason=\"{}\"", term.group(), term.epoch(),
				term.fence(), reason);
		this.currentTerm = Optional.empty();
		this.missingLeader = Optional.empty();
		this.demandCollector.stop();
	}

	// New choices may justify a new map, which is decided in a poll.
	private void observeChoices(List<ChoiceSample> parts) {
		this.fleet.engineSpec()
			.flatMap(EngineSpec::experts)
			.ifPresent((experts) -> this.mapProposer.observe(experts, parts));
		pollSoon();
	}

	private CompletionStage<Long> runRound(LeadershipTerm term, RankStatus status) {
		return collectReports(status, OptionalLong.empty()).thenCompose((reports) -> {
			if (reports.isPresent()) {
				return decide(term, this.fleet.engineSpec().get(), reports.get());
			}
			return pollAfter(term.groupSwitch().idle() ? LEADER_POLL_INTERVAL_MILLIS : SWITCH_POLL_INTERVAL_MILLIS);
		});
	}

	// Requests reports from all ranks. The rank of a failed leader may no longer be
	// listed.
	private CompletionStage<Optional<GroupReports>> collectReports(RankStatus status, OptionalLong leaderMillis) {
		List<RankConnection> others = connectionsToOtherRanks();
		int mayBeMissing = (status.rank() == GroupView.LEADER_RANK) ? 0 : 1;
		if (this.fleet.engineSpec().isEmpty() || others.size() + 1 < status.size() - mayBeMissing) {
			this.otherGroupConnections.clear();
			return CompletableFuture.completedStage(Optional.empty());
		}
		ReportCollector collector = new ReportCollector(status, this.otherGroupConnections);
		for (RankConnection other : others) {
			collector.collect(other, other.report());
		}
		leaderMillis.ifPresent((millis) -> this.loop.schedule(collector::leaderOverdue, millis, TimeUnit.MILLISECONDS));
		return collector.collectOwn(this.ownReporter.report(status)).whenComplete((reports, failure) -> {
			if (failure == null && reports.isEmpty()) {
				logFailedRound(status, others.size(), collector);
			}
		});
	}

	private void logFailedRound(RankStatus status, int requested, ReportCollector collector) {
		if (this.clock.nanos() - this.nextFailureLogNanos >= 0) {
			this.nextFailureLogNanos = this.clock.nanos() + FAILURE_LOG_INTERVAL_NANOS;
			logger.info("event=round-failed group={} epoch={} size={} requested={} answered={} missing=\"{}\"",
					status.group(), status.epoch(), status.size(), requested, collector.answered(),
					collector.missing(MAX_MISSING_LOGGED));
		}
	}

	private List<RankConnection> connectionsToOtherRanks() {
		return this.fleet.serviceUpstreams()
			.stream()
			.filter((upstream) -> !upstream.address().getAddress().getHostAddress().equals(this.fleet.ownAddress()))
			.map((upstream) -> this.connections.computeIfAbsent(upstream.address(), (key) -> newConnection(upstream)))
			.filter((connection) -> !this.otherGroupConnections.contains(connection))
			.filter((connection) -> this.missingLeader.filter(connection::equals).isEmpty())
			.toList();
	}

	private RankConnection newConnection(UpstreamRecord upstream) {
		return new RankConnection(upstream, this.peers.at(upstream.address().getAddress()),
				() -> this.source.engineAt(upstream.address()), this.loop, this.clock);
	}

	private CompletionStage<Long> decide(LeadershipTerm term, EngineSpec engineSpec, GroupReports reports) {
		GroupView ranks = reports.view();
		if (term.balancing() && !this.stopping) {
			this.demandCollector.collectFrom(reports.connections().values());
		}
		Optional<int[][][]> mapInUse = engineSpec.experts().flatMap((experts) -> reports.mapInUse(experts.experts()));
		if (mapInUse.isEmpty()) {
			return pollAfter(SWITCH_POLL_INTERVAL_MILLIS);
		}
		GroupSwitch groupSwitch = term.groupSwitch();
		boolean onlyFinishing = this.stopping || !term.balancing();
		if (onlyFinishing && groupSwitch.settled(ranks)) {
			endTerm(term, "the group runs without further orders");
			return pollAfter(POLL_INTERVAL_MILLIS);
		}
		if (!onlyFinishing && groupSwitch.idle() && !ranks.armedByAny() && ranks.held().isEmpty()) {
			this.mapProposer.profitablePlan(engineSpec, ranks, mapInUse.get()).ifPresent((plan) -> propose(term, plan));
		}
		this.holdDistance.observe(ranks.step(), ranks.held().isPresent(), this.clock.nanos());
		groupSwitch.holdDistance(this.holdDistance.passes());
		return sendOrders(term, reports, groupSwitch.nextOrders(ranks, mapInUse.get()));
	}

	private void propose(LeadershipTerm term, PlacementPlan plan) {
		long version = term.groupSwitch().propose(plan.experts());
		logger.info(
				"event=map-proposed group={} version={} copies={} max-copies-per-rank={} skew-before={} "
						+ "skew-after={} hold-distance={}",
				term.group(), version, plan.copies(), plan.maxCopiesPerRank(), roundToThousandths(plan.skewBefore()),
				roundToThousandths(plan.skewAfter()), this.holdDistance.passes());
	}

	private static double roundToThousandths(double value) {
		return Math.round(value * 1000) / 1000.0;
	}

	private CompletionStage<Long> sendOrders(LeadershipTerm term, GroupReports reports, List<RankCommand> commands) {
		if (commands.isEmpty()) {
			// Without its status nothing can be decided.
			this.missingLeader = Optional.empty();
			return pollAfter(term.groupSwitch().idle() ? LEADER_POLL_INTERVAL_MILLIS : SWITCH_POLL_INTERVAL_MILLIS);
		}
		RankOrder first = commands.get(0).order();
		if (first instanceof RankOrder.Hold) {
			this.holdDistance.holdSent(this.clock.nanos());
		}
		List<CompletableFuture<OrderResult>> pendingResults = this.orderDispatcher.send(reports, commands,
				term.fence());
		return CompletableFuture.allOf(pendingResults.toArray(CompletableFuture[]::new)).thenCompose((all) -> {
			List<OrderResult> results = pendingResults.stream().map(CompletableFuture::join).toList();
			for (int index = 0; index < commands.size(); index++) {
				term.groupSwitch().recordResult(commands.get(index), results.get(index));
			}
			logOrders(term, reports.view(), commands, results);
			if (results.contains(OrderResult.SUPERSEDED)) {
				endTerm(term, "a rank has seen a higher fencing token");
				this.supersededStep = OptionalLong.of(reports.view().step());
			}
			List<RankCommand> followUp = term.groupSwitch().followUpOrders();
			if (this.currentTerm.isPresent() && !followUp.isEmpty()) {
				return sendOrders(term, reports, followUp);
			}
			boolean released = first instanceof RankOrder.Go;
			if (released) {
				this.holdDistance.released(this.clock.nanos());
			}
			return pollAfter((released && !term.balancing()) ? REMOTE_RELEASE_DELAY_MILLIS : HELD_POLL_INTERVAL_MILLIS);
		});
	}

	private static void logOrders(LeadershipTerm term, GroupView ranks, List<RankCommand> commands,
			List<OrderResult> results) {
		long accepted = results.stream().filter(OrderResult::accepted).count();
		long unknown = results.stream().filter(OrderResult.UNKNOWN::equals).count();
		String kind = commands.get(0).order().getClass().getSimpleName();
		logger.info(
				"event=orders group={} epoch={} fence={} step={} kind={} orders={} accepted={} refused={} unknown={}",
				term.group(), ranks.epoch(), term.fence(), ranks.step(), kind, commands.size(), accepted,
				commands.size() - accepted - unknown, unknown);
	}

}
