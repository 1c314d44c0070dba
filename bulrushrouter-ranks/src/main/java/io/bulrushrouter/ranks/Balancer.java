package io.bulrushrouter.ranks;

import java.net.InetSocketAddress;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.Set;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionStage;
import java.util.concurrent.TimeUnit;

import io.netty.channel.EventLoop;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

import io.bulrushrouter.experts.live.GroupSwitch;
import io.bulrushrouter.experts.live.GroupView;
import io.bulrushrouter.experts.live.OrderResult;
import io.bulrushrouter.experts.live.PlacementPlan;
import io.bulrushrouter.experts.live.RankCommand;
import io.bulrushrouter.experts.live.RankOrder;
import io.bulrushrouter.experts.live.RankStatus;
import io.bulrushrouter.gateway.config.EngineSpec;
import io.bulrushrouter.gateway.source.UpstreamRecord;
import io.bulrushrouter.kernel.TimeSource;

/**
 * Gives the orders of one group. The process beside rank 0 balances the group; any other
 * lets the group go on if that process stops while it holds the group. Each takes a
 * fencing token first and ends its duty when a rank has seen a higher one.
 */
final class Balancer {

	private static final Logger logger = LoggerFactory.getLogger(Balancer.class);

	/** Pause between two looks at a group in which nothing is under way. */
	private static final long POLL_INTERVAL_MILLIS = 100;

	/** Pause between two looks while a switch is under way. */
	private static final long SWITCH_POLL_INTERVAL_MILLIS = 60;

	/** Pause between two looks while the group is held. */
	private static final long HELD_POLL_INTERVAL_MILLIS = 5;

	/**
	 * Pause after a group was let go by a process that sees rank 0 from another instance:
	 * what an engine reports there is some hundred milliseconds old.
	 */
	private static final long REMOTE_RELEASE_DELAY_MILLIS = 300;

	/** Pause after the store did not give a token; its calls are rationed. */
	private static final long TOKEN_RETRY_DELAY_MILLIS = 500;

	/** Pause after a look at a group that stands still and cannot be helped now. */
	private static final long RECOVERY_RETRY_DELAY_MILLIS = 250;

	/**
	 * The longest that a stopping process goes on with a switch, within the grace of some
	 * seconds that a stop has; another process sees to the group afterwards.
	 */
	private static final long STOP_TIMEOUT_MILLIS = 2_500;

	private final EventLoop loop;

	private final TimeSource clock = TimeSource.ofSystem();

	private final RankReporter ownReporter;

	private final RankEngine engine;

	private final RankSource source;

	private final String holder;

	private final FleetView fleet;

	private final int peerPort;

	private final Map<InetSocketAddress, RankConnection> connections = new HashMap<>();

	/** The ways to ranks that were last seen in other groups of the service. */
	private final Set<RankConnection> otherGroupConnections = new HashSet<>();

	private final MapProposer mapProposer = new MapProposer(this.clock);

	private final StallDetector stallDetector = new StallDetector();

	private final CompletableFuture<Void> stopped = new CompletableFuture<>();

	private final RetryingOrderSender ownOrderSender;

	private Optional<LeadershipTerm> currentTerm = Optional.empty();

	/**
	 * The pass before which another process took over, if the group still stands there.
	 */
	private OptionalLong supersededStep = OptionalLong.empty();

	private boolean stopping;

	Balancer(EventLoop loop, RankSource source, FleetView fleet, String holder, int peerPort) {
		this.loop = loop;
		this.source = source;
		this.engine = source.engine();
		this.ownReporter = new RankReporter(this.engine);
		this.ownOrderSender = new RetryingOrderSender(this.engine, loop);
		this.fleet = fleet;
		this.holder = holder;
		this.peerPort = peerPort;
	}

	void start() {
		poll();
	}

	/**
	 * Answers another process that gives the orders of the group.
	 * @param counts whether the report is to hold the counts
	 * @return the report of the rank beside this process
	 */
	CompletionStage<Optional<RankReport>> reportToLeader(boolean counts) {
		this.stallDetector.recordRequest(this.clock.nanos());
		return this.ownReporter.report(counts);
	}

	/**
	 * Carries an order of another process out.
	 * @param give the order
	 * @return what came of it
	 */
	CompletionStage<OrderResult> executeOrder(PeerMessage.OrderRequest give) {
		return this.ownOrderSender.send(give.order(), give.epoch(), give.fence());
	}

	/**
	 * Ends the switch that is under way, if any, and begins no other.
	 * @return ends when the group needs nothing more from this process
	 */
	CompletionStage<Void> stop() {
		this.stopping = true;
		if (this.currentTerm.isEmpty()) {
			this.stopped.complete(null);
		}
		this.loop.schedule(() -> {
			if (this.stopped.complete(null)) {
				logger.warn("event=stopped-during-switch reason=\"not ended within {} ms\"", STOP_TIMEOUT_MILLIS);
			}
		}, STOP_TIMEOUT_MILLIS, TimeUnit.MILLISECONDS);
		return this.stopped;
	}

	// Each look ends with exactly one next look, whatever becomes of it.
	private void poll() {
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
				long wait = (failure != null) ? POLL_INTERVAL_MILLIS : millis;
				this.loop.schedule(this::poll, wait, TimeUnit.MILLISECONDS);
			});
	}

	private static CompletionStage<Long> pollAfter(long millis) {
		return CompletableFuture.completedStage(millis);
	}

	private CompletionStage<Long> handleStatus(RankStatus status) {
		if (status.size() < 2 || !status.open()) {
			return pollAfter(POLL_INTERVAL_MILLIS);
		}
		this.currentTerm.filter((held) -> !held.isValidFor(status))
			.ifPresent((held) -> endTerm(held, "another epoch or rank"));
		if (this.currentTerm.isPresent()) {
			return runRound(this.currentTerm.get(), status);
		}
		if (this.stopping) {
			this.stopped.complete(null);
			return pollAfter(POLL_INTERVAL_MILLIS);
		}
		boolean stands = this.stallDetector.shouldTakeOver(status, this.clock.nanos());
		if (status.rank() == 0 && !defersToNewLeader(status)) {
			return acquireLeadership(status);
		}
		return stands ? recover(status) : pollAfter(POLL_INTERVAL_MILLIS);
	}

	// Two processes that take the duty from each other would never let the group go on.
	private boolean defersToNewLeader(RankStatus status) {
		if (this.supersededStep.isPresent() && this.supersededStep.getAsLong() != status.step()) {
			this.supersededStep = OptionalLong.empty();
		}
		return this.supersededStep.isPresent();
	}

	// The duty is taken only if all ranks can be reached, so that it leads to something.
	private CompletionStage<Long> recover(RankStatus status) {
		this.fleet.start();
		return collectReports(status, false).thenCompose((reports) -> {
			if (reports.isEmpty()) {
				logger.info("event=group-stands group={} epoch={} step={} action=none reason=\"not all ranks answer\"",
						status.group(), status.epoch(), status.step());
				return pollAfter(RECOVERY_RETRY_DELAY_MILLIS);
			}
			boolean held = reports.get().view().rank(0).held().isPresent();
			return held ? acquireLeadership(status) : pollAfter(RECOVERY_RETRY_DELAY_MILLIS);
		});
	}

	private CompletionStage<Long> acquireLeadership(RankStatus status) {
		this.fleet.start();
		return this.source.acquireFencingToken(status.group(), this.holder).thenApply((token) -> {
			if (token.isEmpty()) {
				logger.warn("event=balancing-not-taken group={} reason=\"no token from the store\"", status.group());
				return TOKEN_RETRY_DELAY_MILLIS;
			}
			LeadershipTerm taken = LeadershipTerm.of(status, token.getAsLong());
			this.currentTerm = Optional.of(taken);
			logger.info("event=balancing-taken group={} epoch={} rank={} step={} fence={} role={}", taken.group(),
					taken.epoch(), status.rank(), status.step(), taken.fence(),
					taken.balancing() ? "balance" : "let-go-on");
			return HELD_POLL_INTERVAL_MILLIS;
		});
	}

	private void endTerm(LeadershipTerm held, String reason) {
		logger.info("event=balancing-ended group={} epoch={} fence={} reason=\"{}\"", held.group(), held.epoch(),
				held.fence(), reason);
		this.currentTerm = Optional.empty();
	}

	private CompletionStage<Long> runRound(LeadershipTerm held, RankStatus status) {
		// Counts cost the most; they are of no use while a switch is under way.
		boolean atRest = held.balancing() && held.groupSwitch().idle() && status.held().isEmpty()
				&& status.armed().isEmpty();
		return collectReports(status, atRest)
			.thenCompose((reports) -> reports.isPresent() ? decide(held, this.fleet.engineSpec().get(), reports.get())
					: pollAfter(atRest ? POLL_INTERVAL_MILLIS : SWITCH_POLL_INTERVAL_MILLIS));
	}

	// Asks all ranks. A group at rest is left alone while a process beside a rank is
	// away.
	private CompletionStage<Optional<GroupReports>> collectReports(RankStatus status, boolean atRest) {
		List<RankConnection> others = connectionsToOtherRanks();
		if (this.fleet.engineSpec().isEmpty() || others.size() + 1 < status.size()) {
			this.otherGroupConnections.clear();
			return CompletableFuture.completedStage(Optional.empty());
		}
		ReportCollector gathering = new ReportCollector(status, this.otherGroupConnections);
		for (RankConnection other : others) {
			gathering.collect(other, atRest ? other.reportWithCounts() : other.report());
		}
		return gathering.collectOwn(this.ownReporter.report(status, atRest));
	}

	private List<RankConnection> connectionsToOtherRanks() {
		return this.fleet.serviceUpstreams()
			.stream()
			.map(UpstreamRecord::address)
			.filter((address) -> !address.getAddress().getHostAddress().equals(this.fleet.ownAddress()))
			.map((address) -> this.connections.computeIfAbsent(address, this::newConnection))
			.filter((link) -> !this.otherGroupConnections.contains(link))
			.toList();
	}

	private RankConnection newConnection(InetSocketAddress address) {
		PeerClient peer = new PeerClient(this.loop, new InetSocketAddress(address.getAddress(), this.peerPort));
		return new RankConnection(address.toString(), peer, () -> this.source.engineAt(address), this.clock);
	}

	private CompletionStage<Long> decide(LeadershipTerm held, EngineSpec engine, GroupReports reports) {
		GroupView ranks = reports.view();
		if (held.balancing()) {
			this.mapProposer.observe(engine.experts().orElseThrow(), ranks, reports.reports());
		}
		Optional<int[][][]> inUse = reports.mapInUse();
		if (inUse.isEmpty()) {
			return pollAfter(SWITCH_POLL_INTERVAL_MILLIS);
		}
		GroupSwitch decisions = held.groupSwitch();
		boolean done = this.stopping || !held.balancing();
		if (done && decisions.settled(ranks)) {
			endTerm(held, "the group goes on");
			return pollAfter(POLL_INTERVAL_MILLIS);
		}
		if (!done && decisions.idle() && !ranks.armedByAny() && ranks.rank(0).held().isEmpty()) {
			this.mapProposer.profitablePlan(engine, ranks, inUse.get()).ifPresent((plan) -> propose(held, plan));
		}
		return sendOrders(held, reports, decisions.next(ranks, inUse.get()));
	}

	private static void propose(LeadershipTerm held, PlacementPlan plan) {
		long version = held.groupSwitch().propose(plan.experts());
		logger.info("event=map-proposed group={} version={} copies={} most-copies={} skew-before={} skew-after={}",
				held.group(), version, plan.copies(), plan.mostCopies(), roundToThousandths(plan.skewBefore()),
				roundToThousandths(plan.skewAfter()));
	}

	private static double roundToThousandths(double value) {
		return Math.round(value * 1000) / 1000.0;
	}

	private CompletionStage<Long> sendOrders(LeadershipTerm held, GroupReports reports, List<RankCommand> commands) {
		if (commands.isEmpty()) {
			return pollAfter(held.groupSwitch().idle() ? POLL_INTERVAL_MILLIS : SWITCH_POLL_INTERVAL_MILLIS);
		}
		long epoch = reports.view().epoch();
		List<CompletableFuture<OrderResult>> answers = new ArrayList<>();
		for (RankCommand command : commands) {
			RankConnection link = reports.connections().get(command.rank());
			CompletionStage<OrderResult> answer = (link != null) ? link.order(command.order(), epoch, held.fence())
					: this.ownOrderSender.send(command.order(), epoch, held.fence());
			answers.add(answer.toCompletableFuture());
		}
		return CompletableFuture.allOf(answers.toArray(CompletableFuture[]::new)).thenApply((all) -> {
			List<OrderResult> results = answers.stream().map(CompletableFuture::join).toList();
			for (int index = 0; index < commands.size(); index++) {
				held.groupSwitch().answered(commands.get(index), results.get(index));
			}
			logOrders(held, reports.view(), commands, results);
			if (results.contains(OrderResult.SUPERSEDED)) {
				endTerm(held, "a rank has seen a higher fencing token");
				this.supersededStep = OptionalLong.of(reports.view().step());
			}
			boolean letGo = commands.get(0).order() instanceof RankOrder.Go;
			return (letGo && !held.balancing()) ? REMOTE_RELEASE_DELAY_MILLIS : HELD_POLL_INTERVAL_MILLIS;
		});
	}

	private static void logOrders(LeadershipTerm held, GroupView ranks, List<RankCommand> commands,
			List<OrderResult> results) {
		long accepted = results.stream().filter(OrderResult.ACCEPTED::equals).count();
		long unknown = results.stream().filter(OrderResult.UNKNOWN::equals).count();
		String kind = commands.get(0).order().getClass().getSimpleName();
		logger.info(
				"event=orders group={} epoch={} fence={} step={} kind={} orders={} accepted={} refused={} unknown={}",
				held.group(), ranks.epoch(), held.fence(), ranks.step(), kind, commands.size(), accepted,
				commands.size() - accepted - unknown, unknown);
	}

}
