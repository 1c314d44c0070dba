package io.bulrushrouter.evacuation.reconcile;

import java.time.LocalDateTime;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.List;
import java.util.Optional;

import io.bulrushrouter.evacuation.EvacuationState;
import io.bulrushrouter.evacuation.EvacuationStore;
import io.bulrushrouter.evacuation.FleetUpstream;
import io.bulrushrouter.evacuation.LeaseHolderStore;
import io.bulrushrouter.evacuation.Placements;
import io.bulrushrouter.evacuation.ReadOutcome;
import io.bulrushrouter.evacuation.TestFleet;
import io.bulrushrouter.evacuation.VersionedValue;
import io.bulrushrouter.evacuation.sheet.DateOrder;
import io.bulrushrouter.evacuation.sheet.MorningSheet;
import io.bulrushrouter.evacuation.sheet.SheetApplier;
import io.bulrushrouter.evacuation.sheet.SheetFormat;
import io.bulrushrouter.evacuation.sheet.SheetOutcome;
import io.bulrushrouter.evacuation.sheet.SheetParseResult;
import io.bulrushrouter.evacuation.sheet.SheetRequest;
import io.bulrushrouter.kernel.UpstreamId;
import io.bulrushrouter.standin.FleetStandin;
import io.bulrushrouter.standin.MemoryObjectStore;

/**
 * Runs an evacuation with one injected fault. Before every call of a holder, requests
 * begin and end; after it, the invariants are checked.
 */
final class FaultRun {

	private static final String PLAN = "hall";

	private static final int MAX_ROUNDS = 60;

	private static final int OUTAGE_ROUNDS = 3;

	private static final int MAX_REQUESTS_IN_FLIGHT = 4;

	private static final UpstreamId RANK = UpstreamId.of("rank-0-old");

	private static final LocalDateTime STOP = TestFleet.DAY.atTime(14, 0);

	private final FaultCell cell;

	private final MemoryObjectStore objects = new MemoryObjectStore();

	private final FleetStandin fleet = new FleetStandin(() -> this.storeDown ? -1 : this.lease);

	private final Deque<UpstreamId> requests = new ArrayDeque<>();

	private final List<Placements> placements = new ArrayList<>();

	private final List<String> violations = new ArrayList<>();

	private final List<String> writeIds = new ArrayList<>();

	private LocalDateTime now = TestFleet.DAY.atTime(13, 30);

	private Optional<String> stateAtCancellation = Optional.empty();

	private long highestFence;

	private boolean lateRequest;

	private boolean storeDown;

	private long lease = 1;

	private int outageEndRound;

	private int rounds;

	private int requestTicks;

	private int calls;

	private FaultRun(FaultCell cell) {
		this.cell = cell;
		for (FleetUpstream upstream : TestFleet.FLEET.upstreams()) {
			this.fleet.add(upstream.id(), upstream.group(), cell.kind() == FaultCell.Kind.ENGINES_CHECK);
		}
	}

	static FaultRun of(FaultCell cell) {
		return new FaultRun(cell);
	}

	FaultRun guards(boolean sidecars, boolean engines) {
		this.fleet.setFencingChecks(sidecars, engines);
		return this;
	}

	int calls() {
		return this.calls;
	}

	FleetStandin.Counts counts() {
		return this.fleet.counts();
	}

	/** Runs the round that closes the gates, with the given result for every order. */
	RoundResult runRoundAtStopTime(StepResult answer) {
		prepare();
		FaultyCalls calls = new FaultyCalls(this, this.cell);
		UpstreamPort port = new UpstreamPort() {

			@Override
			public List<ObservedUpstream> observe() {
				return calls.observe();
			}

			@Override
			public StepResult carryOut(Step.UpstreamOrder order) {
				return answer;
			}

		};
		EvacuationRound holder = EvacuationRound.of(TestFleet.FLEET, ReconcilePolicy.ofDefaults(),
				new EvacuationRound.Ports(calls, port, this::nextWriteId), PLAN);
		holder.run(this.now, 1);
		holder.run(this.now, 1);
		return holder.run(STOP, 1);
	}

	/** Runs the evacuation to its end and returns the violations of the invariants. */
	List<String> runToEnd() {
		prepare();
		EvacuationRound first = newHolder(new FaultyCalls(this, this.cell));
		boolean alive = true;
		EvacuationRound other = newHolder(new FaultyCalls(this, FaultCell.ofNoFault(this.cell.kind())));
		while (this.rounds < MAX_ROUNDS && !oldUpstreamsStopped()) {
			alive = alive && runFirst(first);
			if (!alive) {
				this.lease = Math.max(this.lease, 2);
			}
			if (this.lease > 1) {
				runRound(other, this.lease);
			}
		}
		while (!this.requests.isEmpty()) {
			finish(this.requests.remove());
		}
		endLateRequest();
		checkFinalState();
		return this.violations;
	}

	private boolean runFirst(EvacuationRound first) {
		try {
			return !runRound(first, 1).fenced();
		}
		catch (Killed ex) {
			return false;
		}
	}

	private RoundResult runRound(EvacuationRound holder, long fence) {
		this.rounds++;
		this.now = this.now.plusMinutes(3);
		if (this.storeDown && this.rounds >= this.outageEndRound) {
			this.storeDown = false;
			this.objects.down(false);
		}
		if (this.now.isAfter(STOP.plusMinutes(5))) {
			endLateRequest();
		}
		RoundResult result = holder.run(this.now, fence);
		if (result.observed().storeUp() && !result.fenced()) {
			this.highestFence = Math.max(this.highestFence, fence);
		}
		return result;
	}

	private EvacuationRound newHolder(FaultyCalls calls) {
		return EvacuationRound.of(TestFleet.FLEET, ReconcilePolicy.ofDefaults(),
				new EvacuationRound.Ports(calls, calls, this::nextWriteId), PLAN);
	}

	private String nextWriteId() {
		this.writeIds.add("m" + this.writeIds.size());
		return this.writeIds.get(this.writeIds.size() - 1);
	}

	private void prepare() {
		EvacuationState planned = EvacuationState.of(TestFleet.plan(), TestFleet.change("plan"));
		MorningSheet sheet = ((SheetParseResult.Parsed) MorningSheet.parse(TestFleet.sheet().getBytes(),
				SheetFormat.of(DateOrder.ISO), TestFleet.FLEET))
			.sheet();
		SheetOutcome outcome = SheetApplier.of(TestFleet.FLEET)
			.apply(planned, new SheetRequest(sheet, TestFleet.placements(), TestFleet.change("sheet"), false));
		EvacuationStore.of(this.objects, PLAN).create(((SheetOutcome.Applied) outcome).state());
		LeaseHolderStore.ofPlacements(this.objects, PLAN).create(Placements.of(0, TestFleet.placements()), "start");
		recordPlacements();
		this.lateRequest = this.cell.kind() == FaultCell.Kind.LATE_REQUEST && this.fleet.begin(RANK);
	}

	private void endLateRequest() {
		if (this.lateRequest) {
			finish(RANK);
			this.lateRequest = false;
		}
	}

	/** Begins and ends requests; called before each call of any holder. */
	void advanceRequests() {
		List<FleetUpstream> upstreams = TestFleet.FLEET.upstreams();
		UpstreamId next = upstreams.get(this.requestTicks++ % upstreams.size()).id();
		if (this.fleet.begin(next)) {
			this.requests.add(next);
		}
		if (this.requests.size() > MAX_REQUESTS_IN_FLIGHT || (this.requestTicks % 2 == 0 && !this.requests.isEmpty())) {
			finish(this.requests.remove());
		}
	}

	private void finish(UpstreamId upstream) {
		if (!this.fleet.finish(upstream)) {
			this.violations.add("a request was cut off");
		}
	}

	/** Checks the invariants; called after each call of any holder. */
	void checkInvariants() {
		recordPlacements();
		Placements current = this.placements.get(this.placements.size() - 1);
		boolean moved = current.byOrganisation().values().stream().allMatch(TestFleet.NEW::equals);
		for (FleetStandin.Status status : this.fleet.statuses()) {
			boolean old = status.id().value().endsWith("-old");
			if (status.state() != FleetStandin.State.RUNNING && (!old || !moved)) {
				this.violations.add(status.id() + " leaves too early or without an intent");
			}
			boolean rank = old && status.id().value().startsWith("rank");
			if (rank && status.state() == FleetStandin.State.STOPPED && this.now.isBefore(STOP)) {
				this.violations.add(status.id() + " stopped at " + this.now);
			}
		}
	}

	private void recordPlacements() {
		ReadOutcome<Placements> loaded = LeaseHolderStore.ofPlacements(this.objects, PLAN)
			.read()
			.toCompletableFuture()
			.join();
		if (!(loaded instanceof ReadOutcome.Found<Placements> found)) {
			return;
		}
		Placements current = found.object().value();
		if (!this.placements.isEmpty()) {
			checkTransition(this.placements.get(this.placements.size() - 1), current);
		}
		this.placements.add(current);
	}

	private void checkTransition(Placements before, Placements after) {
		boolean stale = after.fence() < Math.max(before.fence(), this.highestFence);
		if (stale && !after.equals(before)) {
			this.violations.add("placements were written with stale fencing token " + after.fence());
		}
		before.byOrganisation().forEach((organisation, dataCentre) -> {
			if (dataCentre.equals(TestFleet.NEW) && !dataCentre.equals(after.byOrganisation().get(organisation))) {
				this.violations.add(organisation + " moved back");
			}
		});
		if (after.byOrganisation().get(TestFleet.FIRST).equals(TestFleet.OLD)
				&& after.byOrganisation().get(TestFleet.SECOND).equals(TestFleet.NEW)) {
			this.violations.add("organisations moved out of order");
		}
	}

	/** Lets a second holder take over the lease and run while the first is paused. */
	void runOtherHolder() {
		this.lease++;
		int otherCalls = this.cell.otherCalls();
		boolean dies = this.cell.fault() == Fault.PAUSED_AND_OTHER_KILLED;
		if (this.cell.fault() == Fault.PAUSED_AND_CANCELLED) {
			cancel();
		}
		FaultCell otherCell = dies ? new FaultCell(Fault.KILLED, otherCalls, 0, this.cell.kind())
				: FaultCell.ofNoFault(this.cell.kind());
		EvacuationRound other = newHolder(new FaultyCalls(this, otherCell));
		try {
			for (int i = 0; i < 2; i++) {
				runRound(other, this.lease);
			}
		}
		catch (Killed ex) {
			this.lease++;
		}
	}

	private void cancel() {
		EvacuationStore store = EvacuationStore.of(this.objects, PLAN);
		ReadOutcome<EvacuationState> loaded = store.read().toCompletableFuture().join();
		VersionedValue<EvacuationState> read = ((ReadOutcome.Found<EvacuationState>) loaded).object();
		EvacuationState cancelled = read.value()
			.withPlan(read.value().plan().toBuilder().cancelled(true).build(), TestFleet.change("cancel"));
		store.write(read, cancelled, "cancel");
		this.stateAtCancellation = Optional.of(describeState());
	}

	private String describeState() {
		return this.placements.get(this.placements.size() - 1).placements() + " "
				+ this.fleet.statuses().stream().map(FleetStandin.Status::state).toList();
	}

	void startStoreOutage() {
		this.storeDown = true;
		this.outageEndRound = this.rounds + OUTAGE_ROUNDS;
		this.objects.down(true);
	}

	void countCall() {
		this.calls++;
	}

	MemoryObjectStore objects() {
		return this.objects;
	}

	FleetStandin fleet() {
		return this.fleet;
	}

	private boolean oldUpstreamsStopped() {
		return this.fleet.statuses()
			.stream()
			.filter((status) -> status.id().value().endsWith("-old"))
			.allMatch((status) -> status.state() == FleetStandin.State.STOPPED);
	}

	private void checkFinalState() {
		FleetStandin.Counts counts = this.fleet.counts();
		this.stateAtCancellation.filter((before) -> !before.equals(describeState()))
			.ifPresent(
					(before) -> this.violations.add("state changed after the plan was cancelled: " + describeState()));
		if (this.stateAtCancellation.isEmpty() && !oldUpstreamsStopped()) {
			this.violations.add("old upstreams not stopped after " + this.rounds + " rounds");
		}
		if (counts.violations() > 0 || counts.begun() != counts.answered()) {
			this.violations.add(counts.toString());
		}
	}

	/** Thrown when the holder's process dies. */
	static final class Killed extends RuntimeException {

		private static final long serialVersionUID = 1L;

	}

}
