package io.bulrushrouter.routing;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;

import io.bulrushrouter.kernel.ModelId;
import io.bulrushrouter.kernel.UpstreamId;

/**
 * What one entry knows of the upstreams. One thread owns it.
 *
 * <pre>{@code
 * UpstreamTable table = UpstreamTable.of(specs, CostModel.ofDefaults());
 * table.reported(upstream, report, now);
 * table.sent(upstream, query, now);
 * table.firstToken(upstream, query, now);
 * table.finished(upstream, query, true);
 * }</pre>
 */
public final class UpstreamTable {

	private final Map<UpstreamId, UpstreamView> views = new HashMap<>();

	private final Map<ModelId, ModelUpstreams> models = new HashMap<>();

	private final Map<UpstreamId, List<ModelUpstreams>> memberships = new HashMap<>();

	private final CostModel costModel;

	private UpstreamTable(CostModel costs) {
		this.costModel = costs;
	}

	/**
	 * Returns a table of the configured upstreams, all live.
	 * @param specs the upstreams
	 * @param costs how a candidate's cost is reckoned
	 * @return the table
	 */
	public static UpstreamTable of(List<UpstreamSpec> specs, CostModel costs) {
		UpstreamTable table = new UpstreamTable(costs);
		table.reconfigure(specs);
		return table;
	}

	/**
	 * Takes over a new configuration. What is known of upstreams that stay is kept. An
	 * upstream that serves several models is given once for each.
	 * @param specs the upstreams
	 */
	public void reconfigure(List<UpstreamSpec> specs) {
		Map<UpstreamId, UpstreamView> before = Map.copyOf(this.views);
		this.views.clear();
		this.models.clear();
		this.memberships.clear();
		Map<ModelId, List<UpstreamView>> byModel = new HashMap<>();
		for (UpstreamSpec spec : specs) {
			UpstreamView view = this.views.computeIfAbsent(spec.id(), (id) -> reuseOrCreate(before.get(id), spec));
			byModel.computeIfAbsent(spec.model(), (model) -> new ArrayList<>()).add(view);
		}
		byModel.forEach(this::addModel);
	}

	private static UpstreamView reuseOrCreate(UpstreamView known, UpstreamSpec spec) {
		return (known != null && known.spec().matchesExceptModel(spec)) ? known : new UpstreamView(spec);
	}

	private void addModel(ModelId model, List<UpstreamView> members) {
		ModelUpstreams upstreams = new ModelUpstreams(members);
		this.models.put(model, upstreams);
		members
			.forEach((view) -> this.memberships.computeIfAbsent(view.id(), (id) -> new ArrayList<>()).add(upstreams));
	}

	/**
	 * Notes that a request was sent.
	 * @param upstream the upstream
	 * @param query the request
	 * @param nowNanos the time, in nanoseconds
	 */
	public void sent(UpstreamId upstream, RouteQuery query, long nowNanos) {
		UpstreamView view = this.views.get(upstream);
		ModelUpstreams peers = this.models.get(query.model());
		if (view != null && peers != null) {
			view.sent(query, this.costModel.firstTokenMillis(view, peers, query, nowNanos), nowNanos);
		}
	}

	/**
	 * Notes that a request's first token came, or a plain service's answer.
	 * @param upstream the upstream
	 * @param query the request
	 * @param nowNanos the time, in nanoseconds
	 */
	public void firstToken(UpstreamId upstream, RouteQuery query, long nowNanos) {
		find(upstream).ifPresent((view) -> view.firstToken(query, nowNanos));
	}

	/**
	 * Notes that a request ended.
	 * @param upstream the upstream
	 * @param query the request
	 * @param sawFirstToken whether {@link #firstToken} was called for it
	 */
	public void finished(UpstreamId upstream, RouteQuery query, boolean sawFirstToken) {
		find(upstream).ifPresent((view) -> view.finished(query, sawFirstToken));
	}

	/**
	 * Takes a sidecar's report or its answer to a probe. Reports that come late, twice or
	 * out of order are dropped.
	 * @param upstream the upstream
	 * @param report the report
	 * @param nowNanos the time, in nanoseconds
	 * @return whether the report was news
	 */
	public boolean reported(UpstreamId upstream, LoadReport report, long nowNanos) {
		UpstreamView view = this.views.get(upstream);
		if (view == null) {
			return false;
		}
		long before = view.reportedTokens();
		boolean news = view.reported(report, nowNanos);
		if (news) {
			this.memberships.get(upstream).forEach((peers) -> peers.updateMeans(before, view));
		}
		return news;
	}

	/**
	 * Notes that an upstream is leaving.
	 * @param upstream the upstream
	 */
	public void markLeaving(UpstreamId upstream) {
		find(upstream).ifPresent((view) -> view.state(UpstreamState.LEAVING));
	}

	/**
	 * Notes that an upstream is no longer leaving or ejected.
	 * @param upstream the upstream
	 */
	public void markLive(UpstreamId upstream) {
		find(upstream).ifPresent((view) -> view.state(UpstreamState.LIVE));
	}

	/**
	 * Sets the part of its usual traffic that an upstream may get, as
	 * {@link OutlierEjection} says. A leaving upstream stays leaving.
	 * @param upstream the upstream
	 * @param share 0 while ejected, 1 for full traffic
	 */
	public void trafficShare(UpstreamId upstream, double share) {
		find(upstream).ifPresent((view) -> {
			view.trafficShare(share);
			if (view.state() != UpstreamState.LEAVING) {
				view.state((share > 0) ? UpstreamState.LIVE : UpstreamState.EJECTED);
			}
		});
	}

	/**
	 * Finds what is known of an upstream.
	 * @param upstream the upstream
	 * @return what is known, or empty if it is not configured
	 */
	public Optional<UpstreamView> find(UpstreamId upstream) {
		return Optional.ofNullable(this.views.get(upstream));
	}

	/**
	 * Returns the upstreams of a model.
	 * @param model the model
	 * @return the upstreams, or empty if none is configured
	 */
	public Optional<ModelUpstreams> upstreams(ModelId model) {
		return Optional.ofNullable(this.models.get(model));
	}

	/**
	 * Returns how a candidate's cost is reckoned.
	 * @return the cost model
	 */
	public CostModel costModel() {
		return this.costModel;
	}

}
