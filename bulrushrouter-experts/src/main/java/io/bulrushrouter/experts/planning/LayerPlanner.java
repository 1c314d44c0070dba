package io.bulrushrouter.experts.planning;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.stream.IntStream;

import io.bulrushrouter.experts.ExpertMap;
import io.bulrushrouter.experts.GroupShape;

/**
 * Plans layer by layer and assembles the map.
 */
abstract class LayerPlanner implements ExpertPlanner {

	@Override
	public ExpertPlan plan(PlanRequest request) {
		List<LayerFit> before = layers(request, false);
		double skewBefore = skew(before);
		LoadBudget budget = LoadBudget.of(request.mayMove(skewBefore) ? mostLoads(request) : 0);
		List<LayerFit> after = planLayers(request, before, budget);
		boolean changed = IntStream.range(0, after.size()).anyMatch((layer) -> after.get(layer) != before.get(layer));
		if (!changed) {
			return kept(request, skewBefore, ExpertPlan.Reason.GOOD_ENOUGH);
		}
		return decide(request, skewBefore, after);
	}

	/**
	 * Plans one layer.
	 * @param request the request
	 * @param layer the layer
	 * @param current the layer on the map in use, not to be changed
	 * @param budget the loads that are left
	 * @return the layer to change to, or {@code current}
	 */
	abstract LayerFit planLayer(PlanRequest request, int layer, LayerFit current, LoadBudget budget);

	/**
	 * Returns the most loads of one plan.
	 * @param request the request
	 * @return the count
	 */
	int mostLoads(PlanRequest request) {
		return Integer.MAX_VALUE;
	}

	/**
	 * Plans all layers, those first whose slowest rank is furthest above the mean.
	 * @param request the request
	 * @param before the layers on the map in use
	 * @param budget the loads that are left
	 * @return the layers to change to
	 */
	List<LayerFit> planLayers(PlanRequest request, List<LayerFit> before, LoadBudget budget) {
		List<LayerFit> after = new ArrayList<>(before);
		IntStream.range(0, before.size())
			.boxed()
			.sorted(Comparator.comparingDouble((layer) -> before.get(layer).mean() - before.get(layer).slowest()))
			.forEach((layer) -> after.set(layer, planLayer(request, layer, before.get(layer), budget)));
		return after;
	}

	/**
	 * Returns a plan that pays without the moves that do not.
	 * @param request the request
	 * @param skewBefore the skew on the map in use
	 * @return the plan, or one that keeps the map
	 */
	ExpertPlan planWithoutMoves(PlanRequest request, double skewBefore) {
		return kept(request, skewBefore, ExpertPlan.Reason.DOES_NOT_PAY);
	}

	ExpertPlan decide(PlanRequest request, double skewBefore, List<LayerFit> after) {
		ExpertMap map = assemble(request.current(), after);
		double skewAfter = skew(after);
		if (skewAfter >= skewBefore) {
			return kept(request, skewBefore, ExpertPlan.Reason.NO_GAIN);
		}
		int loads = map.weightLoads(request.current());
		if (loads > 0 && !pays(request, skewBefore, skewAfter, loads)) {
			return planWithoutMoves(request, skewBefore);
		}
		ExpertPlan.Reason reason = (loads > 0) ? ExpertPlan.Reason.MOVES : ExpertPlan.Reason.SHARES;
		long bytes = loads * request.weights().expertBytes();
		return new ExpertPlan(map, loads, bytes, skewBefore, skewAfter, reason);
	}

	static ExpertPlan kept(PlanRequest request, double skew, ExpertPlan.Reason reason) {
		return new ExpertPlan(request.current(), 0, 0, skew, skew, reason);
	}

	static List<LayerFit> layers(PlanRequest request, boolean equalShares) {
		List<LayerFit> layers = new ArrayList<>();
		for (int layer = 0; layer < request.loads().length; layer++) {
			layers.add(copy(request, layer, equalShares));
		}
		return layers;
	}

	static LayerFit copy(PlanRequest request, int layer, boolean equalShares) {
		return LayerFit.of(request.current(), layer, request.loads()[layer], request.speeds(), equalShares);
	}

	static double skew(List<LayerFit> layers) {
		double slowest = 0;
		double mean = 0;
		for (LayerFit layer : layers) {
			slowest += layer.slowest();
			mean += layer.mean();
		}
		return (mean > 0) ? slowest / mean : 1;
	}

	static ExpertMap assemble(ExpertMap current, List<LayerFit> layers) {
		GroupShape shape = current.shape();
		short[] experts = new short[shape.layers() * shape.slotsPerLayer()];
		short[] shares = new short[experts.length];
		for (int layer = 0; layer < layers.size(); layer++) {
			layers.get(layer).store(layer, experts, shares);
		}
		return ExpertMap.of(current.version() + 1, shape, experts, shares);
	}

	private static boolean pays(PlanRequest request, double before, double after, int loads) {
		PlanProfile profile = request.profile();
		double saved = (before - after) / before * profile.horizonSeconds();
		return saved * profile.skewWeight() > request.weights().seconds(loads) * profile.costWeight();
	}

}
