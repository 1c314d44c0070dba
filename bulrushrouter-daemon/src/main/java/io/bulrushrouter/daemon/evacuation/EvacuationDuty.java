package io.bulrushrouter.daemon.evacuation;

import java.time.Clock;
import java.time.Duration;
import java.time.LocalDateTime;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.atomic.AtomicLong;

import io.bulrushrouter.coordination.lease.DutyPlacement;
import io.bulrushrouter.coordination.lease.FencingToken;
import io.bulrushrouter.coordination.lease.Lease;
import io.bulrushrouter.coordination.lease.LeaseDriver;
import io.bulrushrouter.coordination.lease.LeaseTimings;
import io.bulrushrouter.daemon.config.Configuration;
import io.bulrushrouter.daemon.node.DecisionLog;
import io.bulrushrouter.evacuation.EvacuationStore;
import io.bulrushrouter.evacuation.reconcile.EvacuationRound;
import io.bulrushrouter.evacuation.reconcile.ReconcilePolicy;
import io.bulrushrouter.evacuation.reconcile.RoundResult;
import io.bulrushrouter.evacuation.reconcile.Step;
import io.bulrushrouter.evacuation.reconcile.StepOutcome;
import io.bulrushrouter.kernel.InstanceId;
import io.bulrushrouter.kernel.TimeSource;
import io.bulrushrouter.kernel.duty.Duty;
import io.bulrushrouter.kernel.store.ListResult;
import io.bulrushrouter.kernel.store.LiveInstance;
import io.bulrushrouter.kernel.store.LiveList;
import io.bulrushrouter.kernel.store.ObjectKey;
import io.bulrushrouter.kernel.store.ObjectStore;
import io.bulrushrouter.kernel.store.VersionedObject;

/**
 * Carries out evacuation plans from an entry: competes for the lease if this entry is
 * preferred by its place on the live list and, while it holds the lease, runs a round for
 * each plan on every tick. The duty blocks on the store, so nothing else may run on it.
 */
public final class EvacuationDuty implements AutoCloseable {

	/** The key of the lease on all plans. */
	public static final ObjectKey LEASE = ObjectKey.of("lease", "evacuation");

	private static final String DUTY = "evacuation";

	private static final Duration TICK_INTERVAL = Duration.ofSeconds(1);

	private static final int LIST_INTERVAL_TICKS = 5;

	private final Dependencies dependencies;

	private final LeaseDriver lease;

	private final Duty<Runnable> duty;

	private final AtomicLong writeCounter = new AtomicLong();

	private final Map<String, EvacuationRound> rounds = new HashMap<>();

	private final Map<String, List<String>> loggedHolds = new HashMap<>();

	private long ticks;

	private Optional<Configuration> configuration = Optional.empty();

	private EvacuationDuty(Dependencies dependencies) {
		this.dependencies = dependencies;
		this.lease = LeaseDriver.of(Lease.of(LEASE, dependencies.processName(), LeaseTimings.CONTROL),
				dependencies.store(), TimeSource.ofSystem(), this::enqueue);
		this.duty = Duty.<Runnable>builder(DUTY, Runnable::run).tick(TICK_INTERVAL, this::tick).start();
	}

	/**
	 * Starts the duty.
	 * @param dependencies the duty's dependencies
	 * @return the running duty
	 */
	public static EvacuationDuty start(Dependencies dependencies) {
		return new EvacuationDuty(dependencies);
	}

	private void enqueue(Runnable action) {
		this.duty.put(action);
	}

	/**
	 * Adopts a configuration; new rounds are created with its inventory.
	 * @param next the configuration
	 */
	public void adopt(Configuration next) {
		enqueue(() -> {
			this.configuration = Optional.of(next);
			this.rounds.clear();
		});
	}

	private void tick() {
		this.ticks++;
		this.lease.tick(isPreferred());
		Optional<FencingToken> fence = this.lease.held();
		if (fence.isEmpty()) {
			this.rounds.clear();
		}
		else if (this.configuration.isPresent()) {
			listPlans().forEach((plan) -> this.lease.held().ifPresent((current) -> runRound(plan, current)));
		}
	}

	private boolean isPreferred() {
		List<LiveInstance> entries = this.dependencies.liveList()
			.instances()
			.stream()
			.filter((instance) -> instance.role().equals("entry"))
			.toList();
		return entries.isEmpty()
				|| DutyPlacement.isAmong(this.dependencies.instance(), DutyPlacement.preferred(DUTY, entries, 1));
	}

	private List<String> listPlans() {
		if (this.ticks % LIST_INTERVAL_TICKS != 0 && !this.rounds.isEmpty()) {
			return List.copyOf(this.rounds.keySet());
		}
		ListResult result = this.dependencies.store().list(EvacuationStore.KIND + "/").toCompletableFuture().join();
		if (result instanceof ListResult.Listed listed) {
			return listed.objects().stream().map(EvacuationDuty::planName).toList();
		}
		return List.copyOf(this.rounds.keySet());
	}

	private static String planName(VersionedObject object) {
		return object.key().value().substring(EvacuationStore.KIND.length() + 1);
	}

	private void runRound(String plan, FencingToken fence) {
		EvacuationRound round = this.rounds.computeIfAbsent(plan, this::newRound);
		RoundResult result = round.run(LocalDateTime.now(this.dependencies.clock()), fence.value());
		result.outcomes().forEach((outcome) -> log(plan, outcome));
		logHolds(plan, result.steps().stream().filter((step) -> !(step instanceof Step.Order)).toList());
	}

	private void logHolds(String plan, List<Step> holds) {
		List<String> before = this.loggedHolds.getOrDefault(plan, List.of());
		List<String> now = holds.stream().map(Step::toString).toList();
		this.loggedHolds.put(plan, now);
		now.stream()
			.filter((hold) -> !before.contains(hold))
			.forEach((hold) -> DecisionLog.of("evacuation-hold").with("plan", plan).with("step", hold).write());
	}

	private EvacuationRound newRound(String plan) {
		EvacuationRound.Ports ports = new EvacuationRound.Ports(this.dependencies.store(),
				new SidecarPort(this.dependencies.sidecarClient()),
				() -> this.dependencies.processName() + "/evacuation-" + this.writeCounter.incrementAndGet());
		return EvacuationRound.of(Inventories.of(this.configuration.orElseThrow()), this.dependencies.policy(), ports,
				plan);
	}

	private static void log(String plan, StepOutcome outcome) {
		DecisionLog.of("evacuation-step")
			.with("plan", plan)
			.with("order", outcome.order().name())
			.with("subject", outcome.order().subject())
			.with("fence", outcome.order().fence())
			.with("result", outcome.result())
			.write();
	}

	@Override
	public void close() {
		this.duty.close();
	}

	/**
	 * The dependencies of the duty.
	 *
	 * @param instance the instance of this entry
	 * @param processName the name of this process and its incarnation
	 * @param store the platform's store
	 * @param liveList the live list
	 * @param sidecarClient sends observations and orders to sidecars
	 * @param policy the limits on the rate at which plans are carried out
	 * @param clock the clock in the time zone of the plans
	 */
	public record Dependencies(InstanceId instance, String processName, ObjectStore store, LiveList liveList,
			SidecarClient sidecarClient, ReconcilePolicy policy, Clock clock) {
	}

}
