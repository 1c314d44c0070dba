package io.bulrushrouter.daemon.admin;

import java.nio.charset.StandardCharsets;
import java.time.LocalDateTime;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.TreeMap;

import io.bulrushrouter.daemon.evacuation.SidecarPort;
import io.bulrushrouter.evacuation.EvacuationProgress;
import io.bulrushrouter.evacuation.EvacuationState;
import io.bulrushrouter.evacuation.Fleet;
import io.bulrushrouter.evacuation.LeaseHolderStore;
import io.bulrushrouter.evacuation.Placements;
import io.bulrushrouter.evacuation.VersionedValue;
import io.bulrushrouter.evacuation.reconcile.Observation;
import io.bulrushrouter.evacuation.reconcile.ObservedUpstream;
import io.bulrushrouter.evacuation.reconcile.Phase;
import io.bulrushrouter.evacuation.reconcile.Reconciler;
import io.bulrushrouter.evacuation.reconcile.Step;
import io.bulrushrouter.evacuation.report.ForecastSettings;
import io.bulrushrouter.evacuation.report.ReportInput;
import io.bulrushrouter.evacuation.report.ShortfallReport;
import io.bulrushrouter.http.HttpReply;
import io.bulrushrouter.kernel.BulrushException;
import io.bulrushrouter.kernel.ErrorCode;
import io.bulrushrouter.kernel.UpstreamId;

/**
 * Reports the progress of an evacuation plan. Any entry can create the report, because it
 * reads the intended state from the platform and the actual state from the sidecars.
 */
final class ReportAdmin {

	private static final int OK = 200;

	private final AdminContext context;

	private final PlanAdmin plans;

	ReportAdmin(AdminContext context, PlanAdmin plans) {
		this.context = context;
		this.plans = plans;
	}

	HttpReply handle(AdminRequest request, String plan) {
		ShortfallReport report = report(plan);
		return switch (request.parameter("format").orElse("json")) {
			case "json" -> HttpReply.ofJson(OK, report.toJson().getBytes(StandardCharsets.UTF_8));
			case "table" -> HttpReply.ofText(OK, report.toTable());
			case "html" -> new HttpReply(OK, "text/html; charset=utf-8", Map.of(),
					report.toHtml().getBytes(StandardCharsets.UTF_8));
			default -> throw new BulrushException(ErrorCode.BAD_REQUEST, "the format must be json, table or html");
		};
	}

	private ShortfallReport report(String plan) {
		VersionedValue<EvacuationState> state = this.plans.load(plan);
		EvacuationProgress progress = read(LeaseHolderStore.ofProgress(this.context.store(), plan))
			.orElse(EvacuationProgress.ofNothing());
		Placements placements = read(LeaseHolderStore.ofPlacements(this.context.store(), plan))
			.orElse(Placements.of(0, Map.of()));
		Fleet fleet = this.plans.fleet();
		Observation observed = observation(progress, placements);
		LocalDateTime now = LocalDateTime.now(this.context.clock());
		List<Step> steps = Reconciler.of(fleet, this.context.policy()).steps(state.value(), observed, now, 0);
		return ShortfallReport.of(new ReportInput(state.value(), fleet, observed, steps, now, progress.points()),
				ForecastSettings.ofDefaults());
	}

	private static <T> Optional<T> read(LeaseHolderStore<T> store) {
		return PlanAdmin.requireAvailable(store.read().toCompletableFuture().join()).map(VersionedValue::value);
	}

	private Observation observation(EvacuationProgress progress, Placements placements) {
		Map<UpstreamId, ObservedUpstream> upstreams = new TreeMap<>();
		progress.stopped()
			.forEach((id) -> upstreams.put(id, new ObservedUpstream(id, Phase.STOPPED, 0, Optional.empty())));
		new SidecarPort(this.context.sidecarClient()).observe()
			.forEach((upstream) -> upstreams.put(upstream.upstream(), upstream));
		return Observation.of(upstreams.values(), placements.byOrganisation());
	}

}
