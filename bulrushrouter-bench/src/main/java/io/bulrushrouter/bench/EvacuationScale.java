package io.bulrushrouter.bench;

import java.io.PrintStream;
import java.time.Duration;
import java.time.Instant;
import java.time.LocalDate;
import java.time.LocalDateTime;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.TreeMap;

import org.HdrHistogram.Histogram;

import io.bulrushrouter.evacuation.Change;
import io.bulrushrouter.evacuation.Demand;
import io.bulrushrouter.evacuation.EndState;
import io.bulrushrouter.evacuation.EvacuationJson;
import io.bulrushrouter.evacuation.EvacuationPlan;
import io.bulrushrouter.evacuation.EvacuationProgress;
import io.bulrushrouter.evacuation.EvacuationState;
import io.bulrushrouter.evacuation.Fleet;
import io.bulrushrouter.evacuation.FleetUpstream;
import io.bulrushrouter.evacuation.Placements;
import io.bulrushrouter.evacuation.ProgressPoint;
import io.bulrushrouter.evacuation.Target;
import io.bulrushrouter.evacuation.reconcile.Observation;
import io.bulrushrouter.evacuation.reconcile.ObservedUpstream;
import io.bulrushrouter.evacuation.reconcile.Phase;
import io.bulrushrouter.evacuation.reconcile.ReconcilePolicy;
import io.bulrushrouter.evacuation.reconcile.Reconciler;
import io.bulrushrouter.evacuation.reconcile.Step;
import io.bulrushrouter.evacuation.sheet.MorningSheet;
import io.bulrushrouter.evacuation.sheet.SheetApplier;
import io.bulrushrouter.evacuation.sheet.SheetOutcome;
import io.bulrushrouter.evacuation.sheet.SheetRequest;
import io.bulrushrouter.evacuation.sheet.SheetRow;
import io.bulrushrouter.kernel.DataCentreId;
import io.bulrushrouter.kernel.GroupId;
import io.bulrushrouter.kernel.ModelId;
import io.bulrushrouter.kernel.OrganisationId;
import io.bulrushrouter.kernel.UpstreamId;

/**
 * Measures the size and the decision time of an evacuation plan at the target size: 600
 * upstreams in 11 data centres, two of which are evacuated, 1,600 organisations and 34
 * models.
 */
final class EvacuationScale implements Experiment {

	private static final int UPSTREAMS = 600;

	private static final int DATA_CENTRES = 11;

	private static final int LEAVING_DATA_CENTRES = 2;

	private static final int MODELS = 34;

	private static final int MODELS_PER_ORGANISATION = 3;

	private static final int ORGANISATIONS = 1_600;

	private static final int UPSTREAM_CAPACITY = 1_000;

	private static final Duration ROUND_INTERVAL = Duration.ofSeconds(20);

	// Maximum size of a stored value on the platform.
	private static final int MAX_VALUE_BYTES = 1_000_000;

	// Maximum share of a core for control work on a node.
	private static final double MAX_CORE_SHARE = 0.012;

	private static final LocalDate DAY = LocalDate.of(2026, 11, 2);

	private final Fleet fleet = fleet();

	private final Map<OrganisationId, DataCentreId> placements = placements();

	private final Map<UpstreamId, ObservedUpstream> observedUpstreams = new TreeMap<>();

	private final Histogram decisionNanos = new Histogram(3);

	private static Fleet fleet() {
		List<FleetUpstream> upstreams = new ArrayList<>();
		for (int i = 0; i < UPSTREAMS; i++) {
			int pair = i / DATA_CENTRES / 2;
			DataCentreId dataCentre = dataCentre(i);
			upstreams
				.add(new FleetUpstream(UpstreamId.of("runner-" + i), dataCentre, ModelId.of("model-" + pair % MODELS),
						Optional.of(GroupId.of("group-" + dataCentre + "-" + pair)), UPSTREAM_CAPACITY));
		}
		List<Demand> demands = new ArrayList<>();
		for (int i = 0; i < ORGANISATIONS; i++) {
			for (int j = 0; j < MODELS_PER_ORGANISATION; j++) {
				int model = (i + j) % (UPSTREAMS / DATA_CENTRES / 2);
				demands.add(new Demand(OrganisationId.of("organisation-" + i), ModelId.of("model-" + model), 1 + j));
			}
		}
		return Fleet.of(upstreams, demands);
	}

	private static DataCentreId dataCentre(int i) {
		return DataCentreId.of("data-centre-" + i % DATA_CENTRES);
	}

	private static Map<OrganisationId, DataCentreId> placements() {
		Map<OrganisationId, DataCentreId> placements = new TreeMap<>();
		for (int i = 0; i < ORGANISATIONS; i++) {
			placements.put(OrganisationId.of("organisation-" + i), dataCentre(i));
		}
		return placements;
	}

	private static boolean isLeaving(DataCentreId dataCentre) {
		return List.of(dataCentre(0), dataCentre(1)).subList(0, LEAVING_DATA_CENTRES).contains(dataCentre);
	}

	private EvacuationPlan plan() {
		EvacuationPlan.Builder plan = EvacuationPlan.builder("scale", DAY);
		leavingUnits().forEach((unit) -> plan.departure(unit, DAY));
		this.placements.forEach((organisation, dataCentre) -> {
			if (isLeaving(dataCentre)) {
				plan.organisation(organisation);
			}
		});
		return plan.build();
	}

	private List<Target> leavingUnits() {
		return this.fleet.units()
			.entrySet()
			.stream()
			.filter((unit) -> isLeaving(unit.getValue().get(0).dataCentre()))
			.map(Map.Entry::getKey)
			.toList();
	}

	private MorningSheet sheet(EvacuationPlan plan) {
		List<SheetRow> rows = new ArrayList<>();
		plan.organisations()
			.forEach((organisation) -> rows.add(new SheetRow.Move(rows.size() + 2, organisation,
					dataCentre(LEAVING_DATA_CENTRES + rows.size() % (DATA_CENTRES - LEAVING_DATA_CENTRES)))));
		leavingUnits().forEach(
				(unit) -> rows.add(new SheetRow.Departure(rows.size() + 2, unit, EndState.GONE, Optional.empty())));
		return new MorningSheet(DAY, rows);
	}

	private EvacuationState state() {
		EvacuationPlan plan = plan();
		Change change = new Change("mark", "planner", Instant.EPOCH, "planned", "the whole in one day");
		SheetOutcome outcome = SheetApplier.of(this.fleet)
			.apply(EvacuationState.of(plan, change), new SheetRequest(sheet(plan), this.placements, change, false));
		return ((SheetOutcome.Applied) outcome).state();
	}

	@Override
	public boolean run(PrintStream out) {
		EvacuationState state = state();
		int stateBytes = EvacuationJson.write(state).length;
		int placementBytes = EvacuationJson.write(Placements.of(1, this.placements)).length;
		this.fleet.upstreams().forEach((upstream) -> recordPhase(upstream.id(), Phase.RUNNING));
		int rounds = evacuate(state);
		List<ProgressPoint> points = new ArrayList<>();
		for (int i = 0; i < UPSTREAMS; i++) {
			points.add(new ProgressPoint(DAY.atTime(9, 0).plusSeconds(i), UPSTREAMS - i));
		}
		int progressBytes = EvacuationJson
			.write(new EvacuationProgress(1, List.copyOf(this.observedUpstreams.keySet()), points)).length;
		double coreShare = this.decisionNanos.getValueAtPercentile(99) / (double) ROUND_INTERVAL.toNanos();
		out.printf("| at the target size | value | bound |%n|---|---|---|%n");
		out.printf("| bytes of what is intended | %d | %d |%n", stateBytes, MAX_VALUE_BYTES);
		out.printf("| bytes of the placements | %d | %d |%n", placementBytes, MAX_VALUE_BYTES);
		out.printf("| bytes of the progress, if all 600 leave | %d | %d |%n", progressBytes, MAX_VALUE_BYTES);
		out.printf("| share of a core for decisions, 99 in 100 rounds of 20 s | %.5f | %.3f |%n", coreShare,
				MAX_CORE_SHARE);
		out.printf("| bytes a second written while organisations move | %d | 10000 |%n",
				placementBytes / ROUND_INTERVAL.toSeconds());
		out.printf("| rounds until %d organisations and %d upstreams are gone | %d | |%n",
				state.plan().organisations().size(), state.plan().leaving(this.fleet).size(), rounds);
		boolean withinValueSize = Math.max(stateBytes, Math.max(placementBytes, progressBytes)) <= MAX_VALUE_BYTES;
		return withinValueSize && coreShare <= MAX_CORE_SHARE && placementBytes / ROUND_INTERVAL.toSeconds() <= 10_000
				&& rounds > 0;
	}

	private int evacuate(EvacuationState state) {
		Reconciler reconciler = Reconciler.of(this.fleet, ReconcilePolicy.ofDefaults());
		LocalDateTime now = DAY.atTime(8, 30);
		for (int round = 1; round < 10_000; round++) {
			Observation observed = new Observation(this.observedUpstreams, this.placements, true);
			long start = System.nanoTime();
			List<Step> steps = reconciler.steps(state, observed, now, 1);
			this.decisionNanos.recordValue(System.nanoTime() - start);
			if (steps.isEmpty()) {
				return round;
			}
			steps.forEach(this::carryOut);
			now = now.plus(ROUND_INTERVAL);
		}
		return 0;
	}

	private void carryOut(Step step) {
		if (step instanceof Step.MoveOrganisation move) {
			this.placements.put(move.organisation(), move.to());
		}
		else if (step instanceof Step.UpstreamOrder order) {
			recordPhase(order.upstream(), order.targetPhase());
		}
	}

	private void recordPhase(UpstreamId id, Phase phase) {
		this.observedUpstreams.put(id, new ObservedUpstream(id, phase, 0, Optional.empty()));
	}

}
