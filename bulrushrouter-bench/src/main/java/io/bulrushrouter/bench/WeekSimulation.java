package io.bulrushrouter.bench;

import java.time.Duration;
import java.time.Instant;
import java.time.LocalDateTime;
import java.time.ZoneOffset;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.random.RandomGeneratorFactory;

import io.bulrushrouter.evacuation.Change;
import io.bulrushrouter.evacuation.Demand;
import io.bulrushrouter.evacuation.EvacuationState;
import io.bulrushrouter.evacuation.EvacuationStore;
import io.bulrushrouter.evacuation.Fleet;
import io.bulrushrouter.evacuation.FleetUpstream;
import io.bulrushrouter.evacuation.LeaseHolderStore;
import io.bulrushrouter.evacuation.Placements;
import io.bulrushrouter.evacuation.ReadOutcome;
import io.bulrushrouter.evacuation.VersionedValue;
import io.bulrushrouter.evacuation.reconcile.EvacuationRound;
import io.bulrushrouter.evacuation.reconcile.ObservedUpstream;
import io.bulrushrouter.evacuation.reconcile.Phase;
import io.bulrushrouter.evacuation.reconcile.ReconcilePolicy;
import io.bulrushrouter.evacuation.reconcile.RoundResult;
import io.bulrushrouter.evacuation.reconcile.Step;
import io.bulrushrouter.evacuation.reconcile.StepResult;
import io.bulrushrouter.evacuation.reconcile.UpstreamPort;
import io.bulrushrouter.evacuation.report.ForecastSettings;
import io.bulrushrouter.evacuation.report.ReportInput;
import io.bulrushrouter.evacuation.report.ShortfallReport;
import io.bulrushrouter.evacuation.sheet.DateOrder;
import io.bulrushrouter.evacuation.sheet.MorningSheet;
import io.bulrushrouter.evacuation.sheet.SheetApplier;
import io.bulrushrouter.evacuation.sheet.SheetFormat;
import io.bulrushrouter.evacuation.sheet.SheetOutcome;
import io.bulrushrouter.evacuation.sheet.SheetParseResult;
import io.bulrushrouter.evacuation.sheet.SheetRequest;
import io.bulrushrouter.kernel.DataCentreId;
import io.bulrushrouter.kernel.OrganisationId;
import io.bulrushrouter.standin.FleetStandin;
import io.bulrushrouter.standin.MemoryObjectStore;

/**
 * Simulates the kitchen firm with its platform, fleet, requests, operator and the holder
 * of the evacuation plan's lease, on a simulated clock.
 */
final class WeekSimulation implements UpstreamPort {

	private static final Duration STEP = Duration.ofSeconds(20);

	private static final long SEED = 1;

	private final Fleet fleet = KitchenFirm.fleet();

	private final String plan = KitchenFirm.plan().name();

	private final List<Demand> demands = this.fleet.organisations()
		.stream()
		.flatMap((organisation) -> this.fleet.demands(organisation).stream())
		.toList();

	private final MemoryObjectStore objects = new MemoryObjectStore();

	private final FleetStandin standin = new FleetStandin(() -> this.storeDown ? -1 : this.fencingToken);

	private final WeekTraffic traffic = new WeekTraffic(this.fleet, this.standin,
			RandomGeneratorFactory.of("L64X128MixRandom").create(SEED));

	private LocalDateTime now = KitchenFirm.MONDAY.atTime(7, 0);

	private Map<OrganisationId, DataCentreId> placements = KitchenFirm.placements();

	private EvacuationRound holder = newHolder();

	private Optional<RoundResult> lastRound = Optional.empty();

	private boolean holderAlive = true;

	private boolean storeDown;

	private long fencingToken = 1;

	private long writeSequence;

	private long holderStoreCalls;

	private long rounds;

	WeekSimulation() {
		for (FleetUpstream upstream : this.fleet.upstreams()) {
			boolean checks = upstream.model().equals(KitchenFirm.ASSISTANT);
			this.standin.add(upstream.id(), upstream.group(), checks);
		}
		EvacuationState state = EvacuationState.of(KitchenFirm.plan(), change("plan agreed with the landlord"));
		EvacuationStore.of(this.objects, this.plan).create(state);
		LeaseHolderStore.ofPlacements(this.objects, this.plan).create(Placements.of(0, this.placements), nextWriteId());
	}

	Fleet fleet() {
		return this.fleet;
	}

	MemoryObjectStore objects() {
		return this.objects;
	}

	FleetStandin standin() {
		return this.standin;
	}

	WeekTraffic traffic() {
		return this.traffic;
	}

	double holderStoreCallsPerRound() {
		return (double) this.holderStoreCalls / this.rounds;
	}

	private long storeCalls() {
		return this.objects.reads() + this.objects.writes();
	}

	private EvacuationRound newHolder() {
		return EvacuationRound.of(this.fleet, ReconcilePolicy.ofDefaults(),
				new EvacuationRound.Ports(this.objects, this, this::nextWriteId), this.plan);
	}

	private String nextWriteId() {
		return "mark-" + ++this.writeSequence;
	}

	private Change change(String why) {
		Instant when = this.now.toInstant(ZoneOffset.ofHours(1));
		return new Change(nextWriteId(), "planner", when, why, why);
	}

	// Advances the clock in steps of 20 s; each step runs the traffic and the holder.
	void runUntil(LocalDateTime until) {
		while (this.now.isBefore(until)) {
			this.now = this.now.plus(STEP);
			this.traffic.step(this.now, this.demands, this.placements);
			if (this.holderAlive) {
				long before = storeCalls();
				this.lastRound = Optional.of(this.holder.run(this.now, this.fencingToken));
				this.holderStoreCalls += storeCalls() - before;
				this.rounds++;
			}
			readPlacements();
		}
	}

	// While the store is down, entries keep using the placements that they last read.
	private void readPlacements() {
		ReadOutcome<Placements> loaded = LeaseHolderStore.ofPlacements(this.objects, this.plan)
			.read()
			.toCompletableFuture()
			.join();
		if (loaded instanceof ReadOutcome.Found<Placements> found) {
			this.placements = found.object().value().byOrganisation();
		}
	}

	void storeDown(boolean down) {
		this.storeDown = down;
		this.objects.down(down);
	}

	EvacuationRound killHolder() {
		this.holderAlive = false;
		return this.holder;
	}

	void startNewHolder() {
		this.fencingToken++;
		this.holder = newHolder();
		this.holderAlive = true;
	}

	boolean isFenced(EvacuationRound old) {
		return old.run(this.now, this.fencingToken - 1).fenced();
	}

	// Parses a sheet and applies it as an operator does; returns the outcome as text.
	String applySheet(byte[] file) {
		SheetParseResult result = MorningSheet.parse(file, SheetFormat.of(DateOrder.DAY_MONTH_YEAR), this.fleet);
		if (result instanceof SheetParseResult.Rejected rejected) {
			return "rejected: " + rejected.errors().get(0);
		}
		MorningSheet sheet = ((SheetParseResult.Parsed) result).sheet();
		EvacuationStore store = EvacuationStore.of(this.objects, this.plan);
		VersionedValue<EvacuationState> read = ((ReadOutcome.Found<EvacuationState>) store.read()
			.toCompletableFuture()
			.join()).object();
		SheetRequest request = new SheetRequest(sheet, this.placements, change("sheet of " + sheet.date()), false);
		SheetOutcome outcome = SheetApplier.of(this.fleet).apply(read.value(), request);
		if (outcome instanceof SheetOutcome.Applied applied) {
			return store.write(read, applied.state(), request.change().mark())
				.toCompletableFuture()
				.join()
				.getClass()
				.getSimpleName()
				.replace("Written", "applied");
		}
		return outcome.text();
	}

	ShortfallReport report() {
		RoundResult round = this.lastRound.orElseThrow();
		return ShortfallReport.of(new ReportInput(round.state().orElseThrow(), this.fleet, round.observed(),
				round.steps(), this.now, round.progress().points()), ForecastSettings.ofDefaults());
	}

	@Override
	public List<ObservedUpstream> observe() {
		return this.standin.statuses()
			.stream()
			.map((status) -> new ObservedUpstream(status.id(), Phase.valueOf(status.state().name()), status.inFlight(),
					status.refusal()))
			.toList();
	}

	@Override
	public StepResult carryOut(Step.UpstreamOrder order) {
		FleetStandin.State state = FleetStandin.State.valueOf(order.targetPhase().name());
		return switch (this.standin.order(order.upstream(), state, order.fence())) {
			case DONE -> new StepResult.Done();
			case REFUSED -> new StepResult.Refused("refused");
			case STALE -> new StepResult.Fenced();
			case UNDECIDED -> new StepResult.Unknown("the store does not answer");
		};
	}

}
