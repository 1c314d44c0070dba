package io.bulrushrouter.evacuation.reconcile;

import java.time.LocalDateTime;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.TreeMap;
import java.util.concurrent.CompletionStage;
import java.util.function.Supplier;

import io.bulrushrouter.evacuation.EvacuationProgress;
import io.bulrushrouter.evacuation.EvacuationState;
import io.bulrushrouter.evacuation.EvacuationStore;
import io.bulrushrouter.evacuation.Fleet;
import io.bulrushrouter.evacuation.LeaseHolderStore;
import io.bulrushrouter.evacuation.Placements;
import io.bulrushrouter.evacuation.ProgressPoint;
import io.bulrushrouter.evacuation.ReadOutcome;
import io.bulrushrouter.evacuation.VersionedValue;
import io.bulrushrouter.evacuation.WriteOutcome;
import io.bulrushrouter.kernel.UpstreamId;
import io.bulrushrouter.kernel.store.ObjectStore;
import io.bulrushrouter.kernel.store.Write;

/**
 * Runs the reconciliation rounds of one lease holder of a plan. A round reads the
 * intended state, observes the fleet, decides the next steps and carries them out. It
 * blocks on the store and runs on the holder's own thread. A round may be cut off after
 * any call: the next round of any holder continues from what it observes.
 */
public final class EvacuationRound {

	private final Fleet fleet;

	private final Reconciler reconciler;

	private final EvacuationStore stateStore;

	private final LeaseHolderStore<Placements> placementStore;

	private final LeaseHolderStore<EvacuationProgress> progressStore;

	private final UpstreamPort port;

	private final Supplier<String> writeIds;

	private Optional<VersionedValue<EvacuationState>> state = Optional.empty();

	private VersionedValue<Placements> placements = new VersionedValue<>(Write.ABSENT, Placements.of(0, Map.of()));

	private VersionedValue<EvacuationProgress> progress = new VersionedValue<>(Write.ABSENT,
			EvacuationProgress.ofNothing());

	private EvacuationRound(Fleet fleet, ReconcilePolicy policy, Ports ports, String plan) {
		this.fleet = fleet;
		this.reconciler = Reconciler.of(fleet, policy);
		this.stateStore = EvacuationStore.of(ports.objects(), plan);
		this.placementStore = LeaseHolderStore.ofPlacements(ports.objects(), plan);
		this.progressStore = LeaseHolderStore.ofProgress(ports.objects(), plan);
		this.port = ports.upstreams();
		this.writeIds = ports.writeIds();
	}

	/**
	 * Creates the rounds of a new holder, which has read nothing yet.
	 * @param fleet the inventory of the fleet
	 * @param policy the limits on concurrent steps
	 * @param ports the external systems that the rounds call
	 * @param plan the name of the plan
	 * @return the rounds
	 */
	public static EvacuationRound of(Fleet fleet, ReconcilePolicy policy, Ports ports, String plan) {
		return new EvacuationRound(fleet, policy, ports, plan);
	}

	/**
	 * Runs one round.
	 * @param now the current local time of the building
	 * @param fence the fencing token of the holder's lease
	 * @return the state read, the steps decided and the outcomes of the orders sent;
	 * while the store is unavailable, the state last read, the held steps and no outcomes
	 */
	public RoundResult run(LocalDateTime now, long fence) {
		boolean loaded = read();
		if (loaded && this.placements.value().fence() > fence) {
			return result(observation(), List.of(), List.of(), true);
		}
		boolean ready = loaded && takeOver(fence);
		Observation observed = observation();
		if (!ready || !recordProgress(observed, now, fence)) {
			return resultWithoutOrders(observed.withStoreDown(), now, fence);
		}
		List<Step> steps = this.reconciler.steps(this.state.orElseThrow().value(), observed, now, fence);
		List<StepOutcome> outcomes = carryOut(steps);
		return result(observed, steps, outcomes, outcomes.stream().anyMatch(StepOutcome::fenced));
	}

	private RoundResult resultWithoutOrders(Observation observed, LocalDateTime now, long fence) {
		List<Step> held = this.state.map((lastRead) -> this.reconciler.steps(lastRead.value(), observed, now, fence))
			.orElseGet(List::of);
		return result(observed, held, List.of(), false);
	}

	private RoundResult result(Observation observed, List<Step> steps, List<StepOutcome> outcomes, boolean fenced) {
		return new RoundResult(this.state.map(VersionedValue::value), observed, this.progress.value(), steps, outcomes,
				fenced);
	}

	private boolean read() {
		ReadOutcome<EvacuationState> intended = join(
				this.state.map(this.stateStore::refresh).orElseGet(this.stateStore::read));
		if (!(intended instanceof ReadOutcome.Found<EvacuationState> foundState)) {
			return false;
		}
		this.state = Optional.of(foundState.object());
		if (!(join(this.placementStore
			.refresh(this.placements)) instanceof ReadOutcome.Found<Placements> foundPlacements)) {
			return false;
		}
		this.placements = foundPlacements.object();
		ReadOutcome<EvacuationProgress> outcome = join(this.progressStore.refresh(this.progress));
		if (outcome instanceof ReadOutcome.Found<EvacuationProgress> foundProgress) {
			this.progress = foundProgress.object();
		}
		return !(outcome instanceof ReadOutcome.Unavailable);
	}

	// Writes this holder's fencing token into the placements before its first step.
	// From then on, a move by an older holder fails on its version condition or its
	// token.
	private boolean takeOver(long fence) {
		return this.placements.value().fence() == fence || writePlacements(this.placements.value().withFence(fence));
	}

	private boolean writePlacements(Placements changed) {
		WriteOutcome<Placements> outcome = join(
				this.placementStore.write(this.placements, changed, this.writeIds.get()));
		if (outcome instanceof WriteOutcome.Written<Placements> written) {
			this.placements = written.object();
			return true;
		}
		return false;
	}

	// An upstream once recorded as stopped counts as stopped even if its sidecar is
	// gone. If a sidecar answers, its answer takes precedence.
	private Observation observation() {
		Map<UpstreamId, ObservedUpstream> upstreams = new TreeMap<>();
		this.progress.value()
			.stopped()
			.forEach((id) -> upstreams.put(id, new ObservedUpstream(id, Phase.STOPPED, 0, Optional.empty())));
		this.port.observe().forEach((upstream) -> upstreams.put(upstream.upstream(), upstream));
		return new Observation(upstreams, this.placements.value().byOrganisation(), true);
	}

	private boolean recordProgress(Observation observed, LocalDateTime now, long fence) {
		ProgressPoint point = new ProgressPoint(now,
				observed.remaining(this.state.orElseThrow().value().plan(), this.fleet));
		EvacuationProgress changed = this.progress.value().withObservation(fence, observed.stopped(), point);
		if (changed.equals(this.progress.value())) {
			return true;
		}
		WriteOutcome<EvacuationProgress> outcome = join(
				this.progressStore.write(this.progress, changed, this.writeIds.get()));
		if (outcome instanceof WriteOutcome.Written<EvacuationProgress> written) {
			this.progress = written.object();
			return true;
		}
		return false;
	}

	private List<StepOutcome> carryOut(List<Step> steps) {
		List<StepOutcome> outcomes = new ArrayList<>();
		for (Step step : steps) {
			if (!(step instanceof Step.Order order)) {
				continue;
			}
			StepOutcome outcome = new StepOutcome(order, carryOut(order));
			outcomes.add(outcome);
			if (outcome.endsRound()) {
				break;
			}
		}
		return outcomes;
	}

	private StepResult carryOut(Step.Order order) {
		if (order instanceof Step.UpstreamOrder upstreamOrder) {
			return this.port.carryOut(upstreamOrder);
		}
		return move((Step.MoveOrganisation) order);
	}

	private StepResult move(Step.MoveOrganisation move) {
		Optional<Placements> moved = this.placements.value().moved(move.organisation(), move.to(), move.fence());
		if (moved.isEmpty()) {
			return new StepResult.Fenced();
		}
		return writePlacements(moved.get()) ? new StepResult.Done()
				: new StepResult.Unknown("the write of the placements was not confirmed");
	}

	private static <T> T join(CompletionStage<T> stage) {
		return stage.toCompletableFuture().join();
	}

	/**
	 * The external systems that rounds call.
	 *
	 * @param objects the object store of the platform
	 * @param upstreams queries upstreams and sends them orders
	 * @param writeIds supplies a unique identifier for each write
	 */
	public record Ports(ObjectStore objects, UpstreamPort upstreams, Supplier<String> writeIds) {
	}

}
