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
import io.bulrushrouter.evacuation.HolderStore;
import io.bulrushrouter.evacuation.Loaded;
import io.bulrushrouter.evacuation.Placements;
import io.bulrushrouter.evacuation.Stored;
import io.bulrushrouter.evacuation.TestFleet;
import io.bulrushrouter.evacuation.sheet.DateOrder;
import io.bulrushrouter.evacuation.sheet.MorningSheet;
import io.bulrushrouter.evacuation.sheet.SheetApplication;
import io.bulrushrouter.evacuation.sheet.SheetFormat;
import io.bulrushrouter.evacuation.sheet.SheetOrder;
import io.bulrushrouter.evacuation.sheet.SheetOutcome;
import io.bulrushrouter.evacuation.sheet.SheetResult;
import io.bulrushrouter.kernel.UpstreamId;
import io.bulrushrouter.standin.FleetStandin;
import io.bulrushrouter.standin.MemoryObjectStore;

/**
 * One run of an evacuation under one fault, with requests coming and going at every call.
 */
final class FaultRun {

	private static final String PLAN = "hall";

	private static final int MAX_ROUNDS = 60;

	private static final int ROUNDS_OF_OUTAGE = 3;

	private static final int REQUESTS_IN_FLIGHT = 4;

	private static final UpstreamId RANK = UpstreamId.of("rank-0-old");

	private static final LocalDateTime STOP = TestFleet.DAY.atTime(14, 0);

	private final FaultCell cell;

	private final MemoryObjectStore objects = new MemoryObjectStore();

	private final FleetStandin fleet = new FleetStandin(() -> this.storeDown ? -1 : this.lease);

	private final Deque<UpstreamId> requests = new ArrayDeque<>();

	private final List<Placements> placements = new ArrayList<>();

	private final List<String> violations = new ArrayList<>();

	private final List<String> marks = new ArrayList<>();

	private LocalDateTime now = TestFleet.DAY.atTime(13, 30);

	private Optional<String> frozen = Optional.empty();

	private long tookOver;

	private boolean lateRequest;

	private boolean storeDown;

	private long lease = 1;

	private int outageEnds;

	private int rounds;

	private int ticks;

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

	/** Runs the round that closes gates, with every order answered in one way. */
	RoundResult roundAtTheHour(StepResult answer) {
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
				new EvacuationRound.Ports(calls, port, this::mark), PLAN);
		holder.run(this.now, 1);
		holder.run(this.now, 1);
		return holder.run(STOP, 1);
	}

	/** Runs it to its end. */
	List<String> violations() {
		prepare();
		EvacuationRound first = holder(new FaultyCalls(this, this.cell));
		boolean alive = true;
		EvacuationRound other = holder(new FaultyCalls(this, FaultCell.ofNone(this.cell.kind())));
		while (this.rounds < MAX_ROUNDS && !empty()) {
			alive = alive && runFirst(first);
			if (!alive) {
				this.lease = Math.max(this.lease, 2);
			}
			if (this.lease > 1) {
				round(other, this.lease);
			}
		}
		while (!this.requests.isEmpty()) {
			finish(this.requests.remove());
		}
		endLateRequest();
		checkEnd();
		return this.violations;
	}

	private boolean runFirst(EvacuationRound first) {
		try {
			return !round(first, 1).fenced();
		}
		catch (Killed ex) {
			return false;
		}
	}

	private RoundResult round(EvacuationRound holder, long fence) {
		this.rounds++;
		this.now = this.now.plusMinutes(3);
		if (this.storeDown && this.rounds >= this.outageEnds) {
			this.storeDown = false;
			this.objects.down(false);
		}
		if (this.now.isAfter(STOP.plusMinutes(5))) {
			endLateRequest();
		}
		RoundResult result = holder.run(this.now, fence);
		if (result.observed().storeUp() && !result.fenced()) {
			this.tookOver = Math.max(this.tookOver, fence);
		}
		return result;
	}

	private EvacuationRound holder(FaultyCalls calls) {
		return EvacuationRound.of(TestFleet.FLEET, ReconcilePolicy.ofDefaults(),
				new EvacuationRound.Ports(calls, calls, this::mark), PLAN);
	}

	private String mark() {
		this.marks.add("m" + this.marks.size());
		return this.marks.get(this.marks.size() - 1);
	}

	private void prepare() {
		EvacuationState planned = EvacuationState.of(TestFleet.plan(), TestFleet.change("plan"));
		MorningSheet sheet = ((SheetResult.Parsed) MorningSheet.parse(TestFleet.sheet().getBytes(),
				SheetFormat.of(DateOrder.ISO), TestFleet.FLEET))
			.sheet();
		SheetOutcome outcome = SheetApplication.of(TestFleet.FLEET)
			.apply(planned, new SheetOrder(sheet, TestFleet.placements(), TestFleet.change("sheet"), false));
		EvacuationStore.of(this.objects, PLAN).create(((SheetOutcome.Applied) outcome).state());
		HolderStore.ofPlacements(this.objects, PLAN).create(Placements.of(0, TestFleet.placements()), "start");
		watchPlacements();
		this.lateRequest = this.cell.kind() == FaultCell.Kind.LATE_REQUEST && this.fleet.begin(RANK);
	}

	private void endLateRequest() {
		if (this.lateRequest) {
			finish(RANK);
			this.lateRequest = false;
		}
	}

	/** Called before each call of any holder. */
	void tick() {
		List<FleetUpstream> upstreams = TestFleet.FLEET.upstreams();
		UpstreamId next = upstreams.get(this.ticks++ % upstreams.size()).id();
		if (this.fleet.begin(next)) {
			this.requests.add(next);
		}
		if (this.requests.size() > REQUESTS_IN_FLIGHT || (this.ticks % 2 == 0 && !this.requests.isEmpty())) {
			finish(this.requests.remove());
		}
	}

	private void finish(UpstreamId upstream) {
		if (!this.fleet.finish(upstream)) {
			this.violations.add("a request was cut");
		}
	}

	/** Called after each call of any holder. */
	void check() {
		watchPlacements();
		Placements current = this.placements.get(this.placements.size() - 1);
		boolean moved = current.byOrganisation().values().stream().allMatch(TestFleet.NEW::equals);
		for (FleetStandin.Status status : this.fleet.statuses()) {
			boolean old = status.id().value().endsWith("-old");
			if (status.state() != FleetStandin.State.RUNNING && (!old || !moved)) {
				this.violations.add(status.id() + " leaves too early or for no reason");
			}
			boolean rank = old && status.id().value().startsWith("rank");
			if (rank && status.state() == FleetStandin.State.STOPPED && this.now.isBefore(STOP)) {
				this.violations.add(status.id() + " stopped at " + this.now);
			}
		}
	}

	private void watchPlacements() {
		Loaded<Placements> loaded = HolderStore.ofPlacements(this.objects, PLAN).read().toCompletableFuture().join();
		if (!(loaded instanceof Loaded.Found<Placements> found)) {
			return;
		}
		Placements current = found.stored().value();
		if (!this.placements.isEmpty()) {
			compare(this.placements.get(this.placements.size() - 1), current);
		}
		this.placements.add(current);
	}

	private void compare(Placements before, Placements after) {
		boolean old = after.fence() < Math.max(before.fence(), this.tookOver);
		if (old && !after.equals(before)) {
			this.violations.add("placements by old fence " + after.fence());
		}
		before.byOrganisation().forEach((organisation, place) -> {
			if (place.equals(TestFleet.NEW) && !place.equals(after.byOrganisation().get(organisation))) {
				this.violations.add(organisation + " moved back");
			}
		});
		if (after.byOrganisation().get(TestFleet.FIRST).equals(TestFleet.OLD)
				&& after.byOrganisation().get(TestFleet.SECOND).equals(TestFleet.NEW)) {
			this.violations.add("organisations moved out of order");
		}
	}

	/** A second holder takes the lease over and works while the first is paused. */
	void otherTakesOver() {
		this.lease++;
		int otherCalls = this.cell.otherCalls();
		boolean dies = this.cell.fault() == Fault.PAUSED_AND_OTHER_KILLED;
		if (this.cell.fault() == Fault.PAUSED_AND_CANCELLED) {
			cancel();
		}
		FaultCell theirs = dies ? new FaultCell(Fault.KILLED, otherCalls, 0, this.cell.kind())
				: FaultCell.ofNone(this.cell.kind());
		EvacuationRound other = holder(new FaultyCalls(this, theirs));
		try {
			for (int i = 0; i < 2; i++) {
				round(other, this.lease);
			}
		}
		catch (Killed ex) {
			this.lease++;
		}
	}

	private void cancel() {
		EvacuationStore store = EvacuationStore.of(this.objects, PLAN);
		Loaded<EvacuationState> loaded = store.read().toCompletableFuture().join();
		Stored<EvacuationState> read = ((Loaded.Found<EvacuationState>) loaded).stored();
		EvacuationState cancelled = read.value()
			.withPlan(read.value().plan().toBuilder().cancelled(true).build(), TestFleet.change("cancel"));
		store.write(read, cancelled, "cancel");
		this.frozen = Optional.of(reached());
	}

	private String reached() {
		return this.placements.get(this.placements.size() - 1).placements() + " "
				+ this.fleet.statuses().stream().map(FleetStandin.Status::state).toList();
	}

	void storeFails() {
		this.storeDown = true;
		this.outageEnds = this.rounds + ROUNDS_OF_OUTAGE;
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

	private boolean empty() {
		return this.fleet.statuses()
			.stream()
			.filter((status) -> status.id().value().endsWith("-old"))
			.allMatch((status) -> status.state() == FleetStandin.State.STOPPED);
	}

	private void checkEnd() {
		FleetStandin.Counts counts = this.fleet.counts();
		this.frozen.filter((before) -> !before.equals(reached()))
			.ifPresent((before) -> this.violations.add("went on after the plan was cancelled: " + reached()));
		if (this.frozen.isEmpty() && !empty()) {
			this.violations.add("not empty after " + this.rounds + " rounds");
		}
		if (counts.violations() > 0 || counts.begun() != counts.answered()) {
			this.violations.add(counts.toString());
		}
	}

	/** The holder's process dies. */
	static final class Killed extends RuntimeException {

		private static final long serialVersionUID = 1L;

	}

}
