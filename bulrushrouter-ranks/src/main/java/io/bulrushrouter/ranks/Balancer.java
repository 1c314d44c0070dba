package io.bulrushrouter.ranks;

import java.net.InetSocketAddress;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;

import io.netty.channel.EventLoop;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

import io.bulrushrouter.experts.live.CopyWorth;
import io.bulrushrouter.experts.live.Demand;
import io.bulrushrouter.experts.live.GroupSwitch;
import io.bulrushrouter.experts.live.GroupView;
import io.bulrushrouter.experts.live.OrderResult;
import io.bulrushrouter.experts.live.PlacementLimits;
import io.bulrushrouter.experts.live.PlacementPlan;
import io.bulrushrouter.experts.live.PlacementPlanner;
import io.bulrushrouter.experts.live.RankCommand;
import io.bulrushrouter.experts.live.RankStatus;
import io.bulrushrouter.gateway.config.EngineSpec;
import io.bulrushrouter.gateway.config.ExpertSpec;
import io.bulrushrouter.gateway.source.UpstreamRecord;
import io.bulrushrouter.kernel.TimeSource;

/**
 * Balances the group whose rank 0 is beside this process. There is one such process in an
 * epoch, so that no two balance one group.
 */
final class Balancer {

	private static final Logger logger = LoggerFactory.getLogger(Balancer.class);

	/** Pause between two looks at a group in which nothing is under way. */
	private static final long LOOK_MILLIS = 100;

	/** Pause between two looks while a switch is under way. */
	private static final long BUSY_LOOK_MILLIS = 60;

	/** Pause between two looks while the group is held. */
	private static final long HELD_LOOK_MILLIS = 5;

	/** Choices of a set that a plan needs to rest on. */
	private static final double LEAST_CHOICES = 3_000;

	/**
	 * The longest that one plan's copies may take at a rank; demand turns within seconds.
	 */
	private static final double LONGEST_COPY_SECONDS = 1.3;

	/** Versions that one holder of the duty may use; a day has some thousand at most. */
	private static final long VERSIONS_OF_TOKEN = 100_000;

	private final EventLoop loop;

	private final TimeSource clock = TimeSource.ofSystem();

	private final RankReporter own;

	private final RankEngine engine;

	private final RankSource source;

	private final String holder;

	private final FleetView fleet;

	private final int peerPort;

	private final Map<InetSocketAddress, PeerClient> peers = new HashMap<>();

	private final Map<Integer, InetSocketAddress> addressOfRank = new HashMap<>();

	private Optional<GroupSwitch> duty = Optional.empty();

	private Demand demand;

	private long fence;

	private String dutyGroup = "";

	Balancer(EventLoop loop, RankSource source, FleetView fleet, String holder, int peerPort) {
		this.loop = loop;
		this.source = source;
		this.engine = source.engine();
		this.own = new RankReporter(this.engine);
		this.fleet = fleet;
		this.holder = holder;
		this.peerPort = peerPort;
	}

	RankReporter reporter() {
		return this.own;
	}

	void start() {
		look();
	}

	private void again(long millis) {
		this.loop.schedule(this::look, millis, TimeUnit.MILLISECONDS);
	}

	private void look() {
		this.engine.status().whenComplete((status, failure) -> {
			boolean ours = status != null && status.isPresent() && status.get().rank() == 0 && status.get().size() > 1;
			if (!ours || !status.get().open()) {
				again(LOOK_MILLIS);
				return;
			}
			if (!this.dutyGroup.equals(status.get().group()) || this.duty.isEmpty()) {
				takeDuty(status.get());
				return;
			}
			round(status.get());
		});
	}

	private void takeDuty(RankStatus status) {
		this.fleet.start();
		this.source.fence(status.group(), this.holder).thenAccept((token) -> {
			if (token.isPresent()) {
				this.fence = token.getAsLong();
				this.dutyGroup = status.group();
				this.duty = Optional.of(GroupSwitch.of(this.fence * VERSIONS_OF_TOKEN));
				logger.info("event=balancing-taken group={} epoch={} fence={}", status.group(), status.epoch(),
						this.fence);
			}
			again(LOOK_MILLIS);
		});
	}

	private void round(RankStatus status) {
		Optional<EngineSpec> spec = this.fleet.engine();
		List<InetSocketAddress> others = others();
		if (spec.isEmpty() || others.size() + 1 < status.size()) {
			again(LOOK_MILLIS);
			return;
		}
		List<CompletableFuture<Optional<RankReport>>> answers = new ArrayList<>();
		// Counts cost the most; they are of no use while a switch is under way.
		boolean counts = this.duty.orElseThrow().idle();
		answers.add(this.own.report(counts).toCompletableFuture());
		for (InetSocketAddress other : others) {
			answers.add(peer(other).report(counts).toCompletableFuture());
		}
		CompletableFuture.allOf(answers.toArray(CompletableFuture[]::new))
			.thenRun(() -> decide(spec.get(), others, answers.stream().map(CompletableFuture::join).toList()))
			.exceptionally(this::failed);
	}

	private Void failed(Throwable failure) {
		logger.error("event=balancing-failed detail=\"{}\"", failure.toString(), failure);
		again(LOOK_MILLIS);
		return null;
	}

	private List<InetSocketAddress> others() {
		return this.fleet.groupUpstreams()
			.stream()
			.map(UpstreamRecord::address)
			.filter((address) -> !address.getAddress().getHostAddress().equals(this.fleet.ownAddress()))
			.map((address) -> new InetSocketAddress(address.getAddress(), this.peerPort))
			.toList();
	}

	private PeerClient peer(InetSocketAddress address) {
		return this.peers.computeIfAbsent(address, (key) -> new PeerClient(this.loop, key));
	}

	private void decide(EngineSpec engine, List<InetSocketAddress> others, List<Optional<RankReport>> reports) {
		ExpertSpec spec = engine.experts().orElseThrow();
		Optional<RankReport> first = reports.get(0);
		if (first.isEmpty()) {
			again(LOOK_MILLIS);
			return;
		}
		List<RankReport> known = reports.stream().flatMap(Optional::stream).toList();
		Optional<GroupView> view = GroupView.of(first.get().status(), known.stream().map(RankReport::status).toList());
		if (view.isEmpty()) {
			again(first.get().status().held().isPresent() ? BUSY_LOOK_MILLIS : LOOK_MILLIS);
			return;
		}
		for (int index = 1; index < reports.size(); index++) {
			InetSocketAddress address = others.get(index - 1);
			reports.get(index).ifPresent((report) -> {
				if (report.status().group().equals(this.dutyGroup)) {
					this.addressOfRank.put(report.status().rank(), address);
				}
			});
		}
		GroupView ranks = view.get();
		Optional<int[][][]> inUse = inUse(ranks, known);
		observe(spec, ranks, known);
		if (inUse.isEmpty()) {
			again(BUSY_LOOK_MILLIS);
			return;
		}
		GroupSwitch decisions = this.duty.orElseThrow();
		if (decisions.idle() && !ranks.armedByAny() && ranks.rank(0).held().isEmpty()) {
			double occupancy = ranks.running() / (double) (ranks.size() * engine.slots());
			plan(spec, decisions, inUse.get(), CopyWorth.leastGain(occupancy));
		}
		send(ranks, decisions.next(ranks, inUse.get()), decisions);
	}

	private Optional<int[][][]> inUse(GroupView ranks, List<RankReport> reports) {
		int sets = reports.get(0).experts().length;
		int[][][] experts = new int[sets][ranks.size()][];
		long version = ranks.rank(0).map();
		for (RankReport report : reports) {
			RankStatus status = report.status();
			if (!status.group().equals(this.dutyGroup) || status.epoch() != ranks.epoch()) {
				continue;
			}
			if (status.map() != version) {
				// A switch happened while the ranks were asked one after the other.
				return Optional.empty();
			}
			for (int set = 0; set < sets; set++) {
				experts[set][status.rank()] = report.experts()[set];
			}
		}
		return Optional.of(experts);
	}

	private void observe(ExpertSpec spec, GroupView ranks, List<RankReport> reports) {
		if (this.demand == null) {
			this.demand = new Demand(spec.sets(), spec.experts());
		}
		long nowMillis = TimeUnit.NANOSECONDS.toMillis(this.clock.nanos());
		for (RankReport report : reports) {
			if (report.status().group().equals(this.dutyGroup) && report.counts().length > 0) {
				this.demand.observe(ranks.epoch(), report.status().rank(), report.counts(), nowMillis);
			}
		}
	}

	private void plan(ExpertSpec spec, GroupSwitch decisions, int[][][] inUse, double leastGain) {
		if (this.demand.total() < LEAST_CHOICES) {
			return;
		}
		int copies = Math.max(1, (int) (LONGEST_COPY_SECONDS / spec.copySeconds()));
		PlacementPlan plan = PlacementPlanner.cheapest(inUse, this.demand.loads(),
				new PlacementLimits(spec.places(), spec.spare(), copies), leastGain, spec.copySeconds());
		if (plan.pays(spec.copySeconds(), leastGain)) {
			long version = decisions.propose(plan.experts());
			logger.info(
					"event=map-proposed group={} version={} copies={} most-copies={} skew-before={} skew-after={} "
							+ "least-gain={}",
					this.dutyGroup, version, plan.copies(), plan.mostCopies(), rounded(plan.skewBefore()),
					rounded(plan.skewAfter()), rounded(leastGain));
		}
	}

	private static double rounded(double value) {
		return Math.round(value * 1000) / 1000.0;
	}

	private void send(GroupView ranks, List<RankCommand> commands, GroupSwitch decisions) {
		if (commands.isEmpty()) {
			again(decisions.idle() ? LOOK_MILLIS : BUSY_LOOK_MILLIS);
			return;
		}
		List<CompletableFuture<OrderResult>> answers = new ArrayList<>();
		for (RankCommand command : commands) {
			answers.add(order(command, ranks.epoch()));
		}
		CompletableFuture.allOf(answers.toArray(CompletableFuture[]::new)).thenRun(() -> {
			for (int index = 0; index < commands.size(); index++) {
				decisions.answered(commands.get(index), answers.get(index).join());
			}
			log(ranks, commands, answers.stream().map(CompletableFuture::join).toList());
			again(HELD_LOOK_MILLIS);
		}).exceptionally(this::failed);
	}

	private void log(GroupView ranks, List<RankCommand> commands, List<OrderResult> results) {
		long accepted = results.stream().filter(OrderResult.ACCEPTED::equals).count();
		long refused = results.stream().filter(OrderResult.REFUSED::equals).count();
		RankCommand first = commands.get(0);
		String kind = first.order().getClass().getSimpleName();
		logger.info("event=orders group={} epoch={} step={} kind={} orders={} accepted={} refused={} unknown={}",
				this.dutyGroup, ranks.epoch(), ranks.step(), kind, commands.size(), accepted, refused,
				commands.size() - accepted - refused);
	}

	private CompletableFuture<OrderResult> order(RankCommand command, long epoch) {
		if (command.rank() == 0) {
			return this.engine.order(command.order(), epoch, this.fence).toCompletableFuture();
		}
		InetSocketAddress address = this.addressOfRank.get(command.rank());
		return peer(address).order(command.order(), epoch, this.fence).toCompletableFuture();
	}

}
