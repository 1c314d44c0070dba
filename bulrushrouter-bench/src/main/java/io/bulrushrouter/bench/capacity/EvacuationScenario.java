package io.bulrushrouter.bench.capacity;

import java.nio.charset.StandardCharsets;
import java.time.Instant;
import java.time.LocalDate;
import java.time.LocalDateTime;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.TreeMap;
import java.util.stream.IntStream;

import io.bulrushrouter.evacuation.Change;
import io.bulrushrouter.evacuation.EvacuationJson;
import io.bulrushrouter.evacuation.EvacuationPlan;
import io.bulrushrouter.evacuation.EvacuationProgress;
import io.bulrushrouter.evacuation.EvacuationState;
import io.bulrushrouter.evacuation.Fleet;
import io.bulrushrouter.evacuation.FleetUpstream;
import io.bulrushrouter.evacuation.ProgressPoint;
import io.bulrushrouter.evacuation.Target;
import io.bulrushrouter.evacuation.reconcile.Observation;
import io.bulrushrouter.evacuation.reconcile.ObservedUpstream;
import io.bulrushrouter.evacuation.reconcile.Phase;
import io.bulrushrouter.evacuation.reconcile.ReconcilePolicy;
import io.bulrushrouter.evacuation.reconcile.Reconciler;
import io.bulrushrouter.evacuation.reconcile.Step;
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
import io.bulrushrouter.kernel.ModelId;
import io.bulrushrouter.kernel.UpstreamId;

/**
 * An evacuation in which all upstreams of a fleet depart on one day.
 */
final class EvacuationScenario {

	private static final LocalDate DAY = LocalDate.of(2026, 11, 2);

	private static final LocalDateTime NOW = DAY.atTime(9, 0);

	private static final int CAPACITY = 64;

	private final Fleet fleet;

	private final Reconciler reconciler;

	private final byte[] sheet;

	private final EvacuationState state;

	private final Observation observation;

	private EvacuationScenario(int upstreams) {
		List<FleetUpstream> all = IntStream.range(0, upstreams)
			.mapToObj((index) -> new FleetUpstream(UpstreamId.of("runner-" + index), Inventory.dataCentre(index),
					ModelId.of("model-" + index % TargetSize.MODELS), Optional.empty(), CAPACITY))
			.toList();
		this.fleet = Fleet.of(all, List.of());
		this.reconciler = Reconciler.of(this.fleet, ReconcilePolicy.ofDefaults());
		this.sheet = sheetOf(all);
		this.state = state(all);
		Map<UpstreamId, ObservedUpstream> observed = new TreeMap<>();
		all.forEach((upstream) -> observed.put(upstream.id(),
				new ObservedUpstream(upstream.id(), Phase.RUNNING, 1, Optional.empty())));
		this.observation = new Observation(observed, Map.of(), true);
	}

	static EvacuationScenario of(int upstreams) {
		return new EvacuationScenario(upstreams);
	}

	private static byte[] sheetOf(List<FleetUpstream> all) {
		StringBuilder text = new StringBuilder("date,kind,name,state,stop-hour,to,note\n");
		all.forEach((upstream) -> text.append(DAY + ",upstream," + upstream.id() + ",gone,,,\n"));
		return text.append(",end," + all.size() + ",,,,\n").toString().getBytes(StandardCharsets.UTF_8);
	}

	private EvacuationState state(List<FleetUpstream> all) {
		EvacuationPlan.Builder plan = EvacuationPlan.builder("capacity", DAY);
		all.forEach((upstream) -> plan.departure(Target.of(upstream.id()), DAY));
		Change change = new Change("mark", "planner", Instant.EPOCH, "planned", "all in one day");
		SheetOutcome outcome = SheetApplier.of(this.fleet)
			.apply(EvacuationState.of(plan.build(), change), new SheetRequest(parse(), Map.of(), change, true));
		if (outcome instanceof SheetOutcome.Applied applied) {
			return applied.state();
		}
		throw new IllegalStateException(outcome.text());
	}

	MorningSheet parse() {
		SheetParseResult result = MorningSheet.parse(this.sheet, SheetFormat.of(DateOrder.DAY_MONTH_YEAR), this.fleet);
		if (result instanceof SheetParseResult.Parsed parsed) {
			return parsed.sheet();
		}
		throw new IllegalStateException(result.toString());
	}

	List<Step> steps() {
		return this.reconciler.steps(this.state, this.observation, NOW, 1);
	}

	int reportBytes() {
		ShortfallReport report = ShortfallReport.of(
				new ReportInput(this.state, this.fleet, this.observation, steps(), NOW, List.of()),
				ForecastSettings.ofDefaults());
		return report.toJson().getBytes(StandardCharsets.UTF_8).length;
	}

	int progressBytes() {
		List<UpstreamId> stopped = List.copyOf(this.observation.upstreams().keySet());
		List<ProgressPoint> points = new ArrayList<>();
		for (int index = 0; index < stopped.size(); index++) {
			points.add(new ProgressPoint(NOW.plusMinutes(index), stopped.size() - index));
		}
		return EvacuationJson.write(new EvacuationProgress(1, stopped, points)).length;
	}

}
