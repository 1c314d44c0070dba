package io.bulrushrouter.routing;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;

import io.bulrushrouter.kernel.ModelId;
import io.bulrushrouter.kernel.UpstreamId;

/**
 * The state of all upstreams as one entry sees it. Not thread-safe.
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

	private UpstreamTable(CostModel costModel) {
		this.costModel = costModel;
	}

	/**
	 * Returns a table of the configured upstreams, all live.
	 * @param specs the upstreams
	 * @param costModel the cost model of candidates
	 * @return the table
	 */
	public static UpstreamTable of(List<UpstreamSpec> specs, CostModel costModel) {
		UpstreamTable table = new UpstreamTable(costModel);
		table.reconfigure(specs);
		return table;
	}

	/**
	 * Applies a new configuration. Upstreams that remain configured keep their state. An
	 * upstream that serves several models has a spec for each and one state.
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

	private static UpstreamView reuseOrCreate(UpstreamView existing, UpstreamSpec spec) {
		return (existing != null && existing.spec().matchesExceptModel(spec)) ? existing : new UpstreamView(spec);
	}

	private void addModel(ModelId model, List<UpstreamView> members) {
		ModelUpstreams upstreams = new ModelUpstreams(members);
		this.models.put(model, upstreams);
		members
			.forEach((view) -> this.memberships.computeIfAbsent(view.id(), (id) -> new ArrayList<>()).add(upstreams));
	}

	/**
	 * Records that a request was sent.
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
	 * Records a request's first token, or a plain service's answer.
	 * @param upstream the upstream
	 * @param query the request
	 * @param nowNanos the time, in nanoseconds
	 */
	public void firstToken(UpstreamId upstream, RouteQuery query, long nowNanos) {
		find(upstream).ifPresent((view) -> view.firstToken(query, nowNanos));
	}

	/**
	 * Records that a request ended.
	 * @param upstream the upstream
	 * @param query the request
	 * @param sawFirstToken whether {@link #firstToken} was called for it
	 */
	public void finished(UpstreamId upstream, RouteQuery query, boolean sawFirstToken) {
		find(upstream).ifPresent((view) -> view.finished(query, sawFirstToken));
	}

	/**
	 * Applies a sidecar's report or its answer to a probe. Late, duplicate and
	 * out-of-order reports are dropped.
	 * @param upstream the upstream
	 * @param report the report
	 * @param nowNanos the time, in nanoseconds
	 * @return whether the report was applied
	 */
	public boolean reported(UpstreamId upstream, LoadReport report, long nowNanos) {
		UpstreamView view = this.views.get(upstream);
		if (view == null) {
			return false;
		}
		long before = view.reportedTokens();
		boolean applied = view.reported(report, nowNanos);
		if (applied) {
			this.memberships.get(upstream).forEach((peers) -> peers.updateMeans(before, view));
		}
		return applied;
	}

	/**
	 * Marks an upstream as leaving, so that it gets no new requests.
	 * @param upstream the upstream
	 */
	public void markLeaving(UpstreamId upstream) {
		find(upstream).ifPresent((view) -> view.state(UpstreamState.LEAVING));
	}

	/**
	 * Marks an upstream as no longer leaving or ejected.
	 * @param upstream the upstream
	 */
	public void markLive(UpstreamId upstream) {
		find(upstream).ifPresent((view) -> view.state(UpstreamState.LIVE));
	}

	/**
	 * Sets the part of its normal traffic that an upstream may get, as decided by
	 * {@link OutlierEjection}. A leaving upstream remains leaving.
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
	 * Returns the state of an upstream.
	 * @param upstream the upstream
	 * @return the state, or empty if the upstream is not configured
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
	 * Returns the cost model of candidates.
	 * @return the cost model
	 */
	public CostModel costModel() {
		return this.costModel;
	}

}
