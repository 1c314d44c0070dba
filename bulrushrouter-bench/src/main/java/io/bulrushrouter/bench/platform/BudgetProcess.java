package io.bulrushrouter.bench.platform;

import java.time.Duration;
import java.util.ArrayList;
import java.util.EnumMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Random;
import java.util.Set;

import io.bulrushrouter.coordination.BudgetedStore;
import io.bulrushrouter.coordination.CallBudget;
import io.bulrushrouter.coordination.CallCounts;
import io.bulrushrouter.coordination.configuration.ConfigurationNode;
import io.bulrushrouter.coordination.configuration.PeerView;
import io.bulrushrouter.coordination.configuration.PropagationSettings;
import io.bulrushrouter.coordination.configuration.RelayDriver;
import io.bulrushrouter.coordination.lease.DutyPlacement;
import io.bulrushrouter.coordination.lease.Lease;
import io.bulrushrouter.coordination.lease.LeaseDriver;
import io.bulrushrouter.coordination.lease.LeaseTimings;
import io.bulrushrouter.kernel.TimeSource;
import io.bulrushrouter.kernel.store.LiveInstance;
import io.bulrushrouter.kernel.store.ObjectKey;
import io.bulrushrouter.kernel.store.ObjectStore;
import io.bulrushrouter.kernel.store.ReadResult;
import io.bulrushrouter.kernel.store.Write;
import io.bulrushrouter.kernel.store.WriteId;

/**
 * A simulated entry or sidecar and the calls that it makes to the platform.
 */
final class BudgetProcess {

	private static final String SCOPE = "main";

	private static final ObjectKey INSTANCES_KEY = ObjectKey.of("instances", "all");

	private final LiveInstance instance;

	private final BudgetScenario scenario;

	private final TimeSource time;

	private final ObjectStore platform;

	private final Random random;

	private final boolean relay;

	private final Map<BudgetRole, List<BudgetedStore>> stores = new EnumMap<>(BudgetRole.class);

	private final BudgetedStore processStore;

	private final RelayDriver relayDriver;

	private final List<DutyHolder> dutyHolders = new ArrayList<>();

	private long writeSequence;

	private double nextListPollSeconds;

	BudgetProcess(LiveInstance instance, List<LiveInstance> list, BudgetScenario scenario, ObjectStore platform,
			SimulatedTime time, long seed) {
		this.instance = instance;
		this.scenario = scenario;
		this.time = time;
		this.platform = platform;
		this.random = new Random(seed);
		boolean entry = instance.role().equals("entry");
		this.processStore = openStore(entry ? BudgetRole.ENTRY : BudgetRole.SIDECAR,
				entry ? CallBudget.ENTRY : CallBudget.SIDECAR);
		this.relay = scenario.everyProcessWatches() || (entry
				&& PeerView.of(instance.instance(), instance.dataCentre(), entries(list), PropagationSettings.DEFAULT)
					.isRelay());
		ConfigurationNode node = ConfigurationNode.of(instance.instance(), Set.of(SCOPE),
				(document) -> Optional.empty(), PropagationSettings.DEFAULT);
		PeerView view = PeerView.of(instance.instance(), instance.dataCentre(), List.of(), PropagationSettings.DEFAULT);
		BudgetedStore reader = this.relay ? openStore(BudgetRole.RELAY, CallBudget.RELAY) : this.processStore;
		this.relayDriver = RelayDriver.builder(node, Set.of(SCOPE), reader)
			.time(time)
			.listener((stored) -> node.onStored(stored.scope(), stored.document(), time.nanos(), view))
			.build();
		this.nextListPollSeconds = time.seconds() + this.random.nextDouble() * scenario.listPollSeconds();
		if (entry) {
			openDutyHolders(entries(list));
		}
	}

	static List<LiveInstance> entries(List<LiveInstance> instances) {
		return instances.stream().filter((instance) -> instance.role().equals("entry")).toList();
	}

	private void openDutyHolders(List<LiveInstance> entries) {
		for (int duty = 0; duty < this.scenario.duties(); duty++) {
			String name = "duty-" + duty;
			if (DutyPlacement.isAmong(this.instance.instance(), DutyPlacement.preferred(name, entries, 1))) {
				BudgetedStore store = openStore(BudgetRole.DUTY_HOLDER, CallBudget.DUTY_HOLDER);
				Lease lease = Lease.of(ObjectKey.of("lease", name), this.instance.instance().value(),
						LeaseTimings.CONTROL);
				this.dutyHolders.add(
						new DutyHolder(name, store, LeaseDriver.of(lease, store, this.time, Runnable::run), duty == 0));
			}
		}
	}

	private BudgetedStore openStore(BudgetRole role, CallBudget budget) {
		BudgetedStore store = BudgetedStore.builder(this.platform)
			.budget(budget)
			.time(this.time)
			.random(this.random)
			.build();
		this.stores.computeIfAbsent(role, (any) -> new ArrayList<>()).add(store);
		return store;
	}

	void tick(double seconds, Duration step) {
		this.relayDriver.tick(this.relay);
		if (seconds >= this.nextListPollSeconds) {
			this.processStore.read(INSTANCES_KEY);
			this.nextListPollSeconds = seconds + this.scenario.listPollSeconds();
		}
		boolean entry = this.instance.role().equals("entry");
		if (occurs(entry ? this.scenario.operatorActionsPerEntrySecond() : this.scenario.ordersPerSidecarSecond(),
				step)) {
			this.processStore.read(ObjectKey.of("plan", "a"));
			if (entry) {
				readThenWrite(this.processStore, ObjectKey.of("act", this.instance.instance().value()));
			}
		}
		this.dutyHolders.forEach((holder) -> tickHolder(holder, step));
	}

	private void tickHolder(DutyHolder holder, Duration step) {
		holder.lease().tick(true);
		if (holder.lease().held().isEmpty()) {
			return;
		}
		double rate = holder.evacuation() ? 1 : this.scenario.balancerRoundsPerSecond();
		if (occurs(rate, step)) {
			holder.store().list("plan/");
			holder.store().read(ObjectKey.of("placement", holder.name()));
			holder.store().read(ObjectKey.of("progress", holder.name()));
		}
		if (occurs(holder.evacuation() ? this.scenario.progressWritesPerSecond() : rate, step)) {
			readThenWrite(holder.store(), ObjectKey.of("progress", holder.name()));
		}
	}

	private void readThenWrite(BudgetedStore store, ObjectKey key) {
		this.writeSequence++;
		WriteId writeId = new WriteId(this.instance.instance() + "#" + this.writeSequence);
		store.read(key).thenAccept((current) -> {
			if (current instanceof ReadResult.Unavailable) {
				return;
			}
			long version = (current instanceof ReadResult.Found found) ? found.object().version() : Write.ABSENT;
			store.write(new Write(key, version, new byte[0], writeId));
		});
	}

	private boolean occurs(double perSecond, Duration step) {
		return this.random.nextDouble() < perSecond * step.toNanos() / 1e9;
	}

	CallCounts[] counts(BudgetRole role) {
		return this.stores.getOrDefault(role, List.of()).stream().map(BudgetedStore::counts).toArray(CallCounts[]::new);
	}

	private record DutyHolder(String name, BudgetedStore store, LeaseDriver lease, boolean evacuation) {
	}

}
