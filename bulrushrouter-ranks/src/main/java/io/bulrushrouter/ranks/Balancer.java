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
	private static final long LOOK_MILLIS = 100;

	/** Pause between two looks while a switch is under way. */
	private static final long BUSY_LOOK_MILLIS = 60;

	/** Pause between two looks while the group is held. */
	private static final long HELD_LOOK_MILLIS = 5;

	/**
	 * Pause after a group was let go by a process that sees rank 0 from another instance:
	 * what an engine reports there is some hundred milliseconds old.
	 */
	private static final long LET_GO_MILLIS = 300;

	/** Pause after the store did not give a token; its calls are rationed. */
	private static final long NO_TOKEN_MILLIS = 500;

	/** Pause after a look at a group that stands still and cannot be helped now. */
	private static final long NO_HELP_MILLIS = 250;

	/**
	 * The longest that a stopping process goes on with a switch, within the grace of some
	 * seconds that a stop has; another process sees to the group afterwards.
	 */
	private static final long MOST_STOP_MILLIS = 2_500;

	private final EventLoop loop;

	private final TimeSource clock = TimeSource.ofSystem();

	private final RankReporter own;

	private final RankEngine engine;

	private final RankSource source;

	private final String holder;

	private final FleetView fleet;

	private final int peerPort;

	private final Map<InetSocketAddress, RankLink> links = new HashMap<>();

	/** The ways to ranks that were last seen in other groups of the service. */
	private final Set<RankLink> elsewhere = new HashSet<>();

	private final MapProposals proposals = new MapProposals(this.clock);

	private final StallWatch stalls = new StallWatch();

	private final CompletableFuture<Void> finished = new CompletableFuture<>();

	private final RepeatedOrders ownOrders;

	private Optional<GroupDuty> duty = Optional.empty();

	/**
	 * The pass before which another process took over, if the group still stands there.
	 */
	private OptionalLong supersededStep = OptionalLong.empty();

	private boolean stopping;

	Balancer(EventLoop loop, RankSource source, FleetView fleet, String holder, int peerPort) {
		this.loop = loop;
		this.source = source;
		this.engine = source.engine();
		this.own = new RankReporter(this.engine);
		this.ownOrders = new RepeatedOrders(this.engine, loop);
		this.fleet = fleet;
		this.holder = holder;
		this.peerPort = peerPort;
	}

	void start() {
		look();
	}

	/**
	 * Answers another process that gives the orders of the group.
	 * @param counts whether the report is to hold the counts
	 * @return the report of the rank beside this process
	 */
	CompletionStage<Optional<RankReport>> reportToHolder(boolean counts) {
		this.stalls.asked(this.clock.nanos());
		return this.own.report(counts);
	}

	/**
	 * Carries an order of another process out.
	 * @param give the order
	 * @return what came of it
	 */
	CompletionStage<OrderResult> orderOfHolder(PeerMessage.GiveOrder give) {
		return this.ownOrders.give(give.order(), give.epoch(), give.fence());
	}

	/**
	 * Ends the switch that is under way, if any, and begins no other.
	 * @return ends when the group needs nothing more from this process
	 */
	CompletionStage<Void> finish() {
		this.stopping = true;
		if (this.duty.isEmpty()) {
			this.finished.complete(null);
		}
		this.loop.schedule(() -> {
			if (this.finished.complete(null)) {
				logger.warn("event=stopped-during-switch reason=\"not ended within {} ms\"", MOST_STOP_MILLIS);
			}
		}, MOST_STOP_MILLIS, TimeUnit.MILLISECONDS);
		return this.finished;
	}

	// Each look ends with exactly one next look, whatever becomes of it.
	private void look() {
		if (this.finished.isDone()) {
			return;
		}
		CompletableFuture.completedStage(null)
			.thenCompose((start) -> this.engine.status())
			.thenCompose((status) -> status.map(this::act).orElseGet(() -> pause(LOOK_MILLIS)))
			.whenComplete((millis, failure) -> {
				if (failure != null) {
					logger.error("event=balancing-failed detail=\"{}\"", failure.toString(), failure);
				}
				long wait = (failure != null) ? LOOK_MILLIS : millis;
				this.loop.schedule(this::look, wait, TimeUnit.MILLISECONDS);
			});
	}

	private static CompletionStage<Long> pause(long millis) {
		return CompletableFuture.completedStage(millis);
	}

	private CompletionStage<Long> act(RankStatus status) {
		if (status.size() < 2 || !status.open()) {
			return pause(LOOK_MILLIS);
		}
		this.duty.filter((held) -> !held.fits(status)).ifPresent((held) -> endDuty(held, "another epoch or rank"));
		if (this.duty.isPresent()) {
			return round(this.duty.get(), status);
		}
		if (this.stopping) {
			this.finished.complete(null);
			return pause(LOOK_MILLIS);
		}
		boolean stands = this.stalls.due(status, this.clock.nanos());
		if (status.rank() == 0 && !waitsForOther(status)) {
			return takeDuty(status);
		}
		return stands ? lookAfter(status) : pause(LOOK_MILLIS);
	}

	// Two processes that take the duty from each other would never let the group go on.
	private boolean waitsForOther(RankStatus status) {
		if (this.supersededStep.isPresent() && this.supersededStep.getAsLong() != status.step()) {
			this.supersededStep = OptionalLong.empty();
		}
		return this.supersededStep.isPresent();
	}

	// The duty is taken only if all ranks can be reached, so that it leads to something.
	private CompletionStage<Long> lookAfter(RankStatus status) {
		this.fleet.start();
		return gather(status, false).thenCompose((reports) -> {
			if (reports.isEmpty()) {
				logger.info("event=group-stands group={} epoch={} step={} action=none reason=\"not all ranks answer\"",
						status.group(), status.epoch(), status.step());
				return pause(NO_HELP_MILLIS);
			}
			boolean held = reports.get().view().rank(0).held().isPresent();
			return held ? takeDuty(status) : pause(NO_HELP_MILLIS);
		});
	}

	private CompletionStage<Long> takeDuty(RankStatus status) {
		this.fleet.start();
		return this.source.fence(status.group(), this.holder).thenApply((token) -> {
			if (token.isEmpty()) {
				logger.warn("event=balancing-not-taken group={} reason=\"no token from the store\"", status.group());
				return NO_TOKEN_MILLIS;
			}
			GroupDuty taken = GroupDuty.of(status, token.getAsLong());
			this.duty = Optional.of(taken);
			logger.info("event=balancing-taken group={} epoch={} rank={} step={} fence={} role={}", taken.group(),
					taken.epoch(), status.rank(), status.step(), taken.fence(),
					taken.balancing() ? "balance" : "let-go-on");
			return HELD_LOOK_MILLIS;
		});
	}

	private void endDuty(GroupDuty held, String reason) {
		logger.info("event=balancing-ended group={} epoch={} fence={} reason=\"{}\"", held.group(), held.epoch(),
				held.fence(), reason);
		this.duty = Optional.empty();
	}

	private CompletionStage<Long> round(GroupDuty held, RankStatus status) {
		// Counts cost the most; they are of no use while a switch is under way.
		boolean atRest = held.balancing() && held.decisions().idle() && status.held().isEmpty()
				&& status.armed().isEmpty();
		return gather(status, atRest)
			.thenCompose((reports) -> reports.isPresent() ? decide(held, this.fleet.engine().get(), reports.get())
					: pause(atRest ? LOOK_MILLIS : BUSY_LOOK_MILLIS));
	}

	// Asks all ranks. A group at rest is left alone while a process beside a rank is
	// away.
	private CompletionStage<Optional<GroupReports>> gather(RankStatus status, boolean atRest) {
		List<RankLink> others = others();
		if (this.fleet.engine().isEmpty() || others.size() + 1 < status.size()) {
			this.elsewhere.clear();
			return CompletableFuture.completedStage(Optional.empty());
		}
		Gathering gathering = new Gathering(status, this.elsewhere);
		for (RankLink other : others) {
			gathering.await(other, atRest ? other.reportWithCounts() : other.report());
		}
		return gathering.awaitOwn(this.own.report(status, atRest));
	}

	private List<RankLink> others() {
		return this.fleet.groupUpstreams()
			.stream()
			.map(UpstreamRecord::address)
			.filter((address) -> !address.getAddress().getHostAddress().equals(this.fleet.ownAddress()))
			.map((address) -> this.links.computeIfAbsent(address, this::link))
			.filter((link) -> !this.elsewhere.contains(link))
			.toList();
	}

	private RankLink link(InetSocketAddress address) {
		PeerClient peer = new PeerClient(this.loop, new InetSocketAddress(address.getAddress(), this.peerPort));
		return new RankLink(address.toString(), peer, () -> this.source.engineAt(address), this.clock);
	}

	private CompletionStage<Long> decide(GroupDuty held, EngineSpec engine, GroupReports reports) {
		GroupView ranks = reports.view();
		if (held.balancing()) {
			this.proposals.observe(engine.experts().orElseThrow(), ranks, reports.reports());
		}
		Optional<int[][][]> inUse = reports.mapInUse();
		if (inUse.isEmpty()) {
			return pause(BUSY_LOOK_MILLIS);
		}
		GroupSwitch decisions = held.decisions();
		boolean done = this.stopping || !held.balancing();
		if (done && decisions.settled(ranks)) {
			endDuty(held, "the group goes on");
			return pause(LOOK_MILLIS);
		}
		if (!done && decisions.idle() && !ranks.armedByAny() && ranks.rank(0).held().isEmpty()) {
			this.proposals.paying(engine, ranks, inUse.get()).ifPresent((plan) -> propose(held, plan));
		}
		return send(held, reports, decisions.nextOrders(ranks, inUse.get()));
	}

	private static void propose(GroupDuty held, PlacementPlan plan) {
		long version = held.decisions().propose(plan.experts());
		logger.info("event=map-proposed group={} version={} copies={} most-copies={} skew-before={} skew-after={}",
				held.group(), version, plan.copies(), plan.maxCopiesPerRank(), rounded(plan.skewBefore()),
				rounded(plan.skewAfter()));
	}

	private static double rounded(double value) {
		return Math.round(value * 1000) / 1000.0;
	}

	private CompletionStage<Long> send(GroupDuty held, GroupReports reports, List<RankCommand> commands) {
		if (commands.isEmpty()) {
			return pause(held.decisions().idle() ? LOOK_MILLIS : BUSY_LOOK_MILLIS);
		}
		long epoch = reports.view().epoch();
		List<CompletableFuture<OrderResult>> answers = new ArrayList<>();
		for (RankCommand command : commands) {
			RankLink link = reports.links().get(command.rank());
			CompletionStage<OrderResult> answer = (link != null) ? link.order(command.order(), epoch, held.fence())
					: this.ownOrders.give(command.order(), epoch, held.fence());
			answers.add(answer.toCompletableFuture());
		}
		return CompletableFuture.allOf(answers.toArray(CompletableFuture[]::new)).thenApply((all) -> {
			List<OrderResult> results = answers.stream().map(CompletableFuture::join).toList();
			for (int index = 0; index < commands.size(); index++) {
				held.decisions().recordResult(commands.get(index), results.get(index));
			}
			log(held, reports.view(), commands, results);
			if (results.contains(OrderResult.SUPERSEDED)) {
				endDuty(held, "a rank has seen a higher fencing token");
				this.supersededStep = OptionalLong.of(reports.view().step());
			}
			boolean letGo = commands.get(0).order() instanceof RankOrder.Go;
			return (letGo && !held.balancing()) ? LET_GO_MILLIS : HELD_LOOK_MILLIS;
		});
	}

	private static void log(GroupDuty held, GroupView ranks, List<RankCommand> commands, List<OrderResult> results) {
		long accepted = results.stream().filter(OrderResult.ACCEPTED::equals).count();
		long unknown = results.stream().filter(OrderResult.UNKNOWN::equals).count();
		String kind = commands.get(0).order().getClass().getSimpleName();
		logger.info(
				"event=orders group={} epoch={} fence={} step={} kind={} orders={} accepted={} refused={} unknown={}",
				held.group(), ranks.epoch(), held.fence(), ranks.step(), kind, commands.size(), accepted,
				commands.size() - accepted - unknown, unknown);
	}

}
