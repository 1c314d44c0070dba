package io.bulrushrouter.daemon.entry;

import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.random.RandomGenerator;
import java.util.stream.Collectors;

import io.bulrushrouter.daemon.config.Configuration;
import io.bulrushrouter.daemon.config.Upstream;
import io.bulrushrouter.daemon.node.DecisionLog;
import io.bulrushrouter.kernel.DataCentreId;
import io.bulrushrouter.kernel.GroupId;
import io.bulrushrouter.kernel.ModelId;
import io.bulrushrouter.kernel.OrganisationId;
import io.bulrushrouter.kernel.RequestId;
import io.bulrushrouter.kernel.UpstreamId;
import io.bulrushrouter.request.RequestSpec;
import io.bulrushrouter.routing.Candidate;
import io.bulrushrouter.routing.Choice;
import io.bulrushrouter.routing.CostModel;
import io.bulrushrouter.routing.EjectionSettings;
import io.bulrushrouter.routing.LoadReport;
import io.bulrushrouter.routing.Outcome;
import io.bulrushrouter.routing.OutlierEjection;
import io.bulrushrouter.routing.RouteQuery;
import io.bulrushrouter.routing.UpstreamChooser;
import io.bulrushrouter.routing.UpstreamSpec;
import io.bulrushrouter.routing.UpstreamTable;

/**
 * Routes requests to upstreams: combines the chooser with the state of the upstreams,
 * outlier ejection, placements and the decision log. Accessed by the entry's duty only.
 */
final class UpstreamRouter {

	private static final int MAX_LOGGED_CANDIDATES = 4;

	private final DataCentreId dataCentre;

	private final UpstreamChooser chooser;

	private final RandomGenerator random;

	private final UpstreamTable table = UpstreamTable.of(List.of(), CostModel.ofDefaults());

	private final OutlierEjection ejection = OutlierEjection.of(List.of(), EjectionSettings.ofDefaults());

	private final Set<UpstreamId> unreachable = new HashSet<>();

	private final Set<UpstreamId> unhealthy = new HashSet<>();

	private Set<ModelId> models = Set.of();

	private Map<UpstreamId, DataCentreId> dataCentres = Map.of();

	private Map<OrganisationId, DataCentreId> placements = Map.of();

	UpstreamRouter(DataCentreId dataCentre, UpstreamChooser chooser, RandomGenerator random) {
		this.dataCentre = dataCentre;
		this.chooser = chooser;
		this.random = random;
	}

	void configure(Configuration configuration, Set<UpstreamId> connected) {
		List<UpstreamSpec> specs = new ArrayList<>();
		for (Upstream upstream : configuration.upstreams()) {
			upstream.models().forEach((model) -> specs.add(spec(upstream, model)));
			if (!connected.contains(upstream.id())) {
				this.unreachable.add(upstream.id());
			}
		}
		this.dataCentres = configuration.upstreams()
			.stream()
			.collect(Collectors.toMap(Upstream::id, (upstream) -> DataCentreId.of(upstream.dataCentre())));
		this.models = specs.stream().map(UpstreamSpec::model).collect(Collectors.toSet());
		this.table.reconfigure(specs);
		this.ejection.reconfigure(specs);
	}

	private static UpstreamSpec spec(Upstream upstream, ModelId model) {
		Optional<GroupId> group = Optional.of(upstream.group()).filter((name) -> !name.isEmpty()).map(GroupId::of);
		return new UpstreamSpec(upstream.id(), model, DataCentreId.of(upstream.dataCentre()), group, 1);
	}

	void updatePlacements(Map<OrganisationId, DataCentreId> updated) {
		if (!updated.equals(this.placements)) {
			DecisionLog.of("placements").with("placements", updated).write();
		}
		this.placements = updated;
	}

	boolean serves(ModelId model) {
		return this.models.contains(model);
	}

	void setReachable(UpstreamId upstream, boolean reachable) {
		if (reachable) {
			this.unreachable.remove(upstream);
		}
		else {
			this.unreachable.add(upstream);
		}
	}

	void setHealthy(UpstreamId upstream, boolean healthy) {
		boolean changed = healthy ? this.unhealthy.remove(upstream) : this.unhealthy.add(upstream);
		if (changed) {
			DecisionLog.of("upstream-health").with("upstream", upstream).with("healthy", healthy).write();
		}
	}

	void setLeaving(UpstreamId upstream, boolean leaving) {
		if (leaving) {
			this.table.markLeaving(upstream);
		}
		else {
			this.table.markLive(upstream);
		}
		DecisionLog.of("upstream-state").with("upstream", upstream).with("leaving", leaving).write();
	}

	void recordReport(UpstreamId upstream, LoadReport report, long now) {
		this.table.reported(upstream, report, now);
	}

	/**
	 * Chooses the upstream for an attempt, in the data centre of the organisation's
	 * placement if one is available there.
	 * @param id the request's identifier
	 * @param spec the request
	 * @param excluded the upstreams that may not be chosen
	 * @param now the current time, in nanoseconds
	 * @return the upstream, or empty if none is available
	 */
	Optional<UpstreamId> pick(RequestId id, RequestSpec spec, Set<UpstreamId> excluded, long now) {
		this.ejection.applyTo(this.table, now);
		Choice choice = choose(spec, excludeOtherDataCentres(spec, withUnavailable(excluded)), now);
		if (choice.upstream().isEmpty() && this.placements.containsKey(spec.organisation())) {
			// Prefer a response from another data centre to a failed request.
			choice = choose(spec, withUnavailable(excluded), now);
		}
		log(id, spec, choice);
		return choice.upstream();
	}

	/**
	 * Returns the upstreams whose sidecars are probed for a fresh load report before the
	 * request is routed.
	 * @param spec the request
	 * @param now the current time, in nanoseconds
	 * @return the upstreams, possibly none
	 */
	List<UpstreamId> probeTargets(RequestSpec spec, long now) {
		return this.chooser.probes(query(spec, excludeOtherDataCentres(spec, withUnavailable(Set.of()))), this.table,
				now, this.random);
	}

	private Choice choose(RequestSpec spec, Set<UpstreamId> excluded, long now) {
		return this.chooser.choose(query(spec, excluded), this.table, now, this.random);
	}

	private Set<UpstreamId> excludeOtherDataCentres(RequestSpec spec, Set<UpstreamId> excluded) {
		DataCentreId placed = this.placements.get(spec.organisation());
		if (placed != null) {
			this.dataCentres.forEach((upstream, dataCentre) -> {
				if (!dataCentre.equals(placed)) {
					excluded.add(upstream);
				}
			});
		}
		return excluded;
	}

	private Set<UpstreamId> withUnavailable(Set<UpstreamId> excluded) {
		Set<UpstreamId> unavailable = new HashSet<>(excluded);
		unavailable.addAll(this.unreachable);
		unavailable.addAll(this.unhealthy);
		return unavailable;
	}

	private RouteQuery query(RequestSpec spec, Set<UpstreamId> excluded) {
		return new RouteQuery(spec.model(), spec.organisation(), spec.priority(), spec.prefixDigest(),
				spec.prefixTokens(), Math.max(1, spec.promptTokens()), this.dataCentre, excluded);
	}

	private static void log(RequestId id, RequestSpec spec, Choice choice) {
		if (!DecisionLog.isEnabled()) {
			return;
		}
		DecisionLog.of("route")
			.with("request", id)
			.with("organisation", spec.organisation())
			.with("model", spec.model())
			.with("upstream", choice.upstream().map(UpstreamId::value).orElse("-"))
			.with("reason", choice.reason())
			.with("candidates", costs(choice.candidates()))
			.write();
	}

	private static String costs(List<Candidate> candidates) {
		return candidates.stream()
			.limit(MAX_LOGGED_CANDIDATES)
			.map((candidate) -> candidate.upstream() + ":" + Math.round(candidate.costMillis() * 100) / 100.0)
			.collect(Collectors.joining(","));
	}

	void recordSent(UpstreamId upstream, RequestSpec spec, long now) {
		this.table.sent(upstream, query(spec, Set.of()), now);
	}

	void recordFirstToken(UpstreamId upstream, RequestSpec spec, long now) {
		this.table.firstToken(upstream, query(spec, Set.of()), now);
	}

	void recordFinished(UpstreamId upstream, RequestSpec spec, boolean sawFirstToken, Outcome outcome, long now) {
		this.table.finished(upstream, query(spec, Set.of()), sawFirstToken);
		if (this.ejection.ended(upstream, outcome, now)) {
			DecisionLog.of("eject").with("upstream", upstream).with("outcome", outcome).write();
		}
	}

}
