package io.bulrushrouter.experts.planning;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.stream.IntStream;

import io.bulrushrouter.experts.ExpertMap;
import io.bulrushrouter.experts.GroupShape;

/**
 * Base class of planners that plan each layer by itself and assemble the map from the
 * layers.
 */
abstract class LayerPlanner implements ExpertPlanner {

	@Override
	public ExpertPlan plan(PlanRequest request) {
		List<LayerPlacement> current = currentLayers(request, false);
		double skewBefore = skew(current);
		LoadBudget budget = LoadBudget.of(request.mayMove(skewBefore) ? maxWeightLoads(request) : 0);
		List<LayerPlacement> planned = planLayers(request, current, budget);
		boolean changed = IntStream.range(0, planned.size())
			.anyMatch((layer) -> planned.get(layer) != current.get(layer));
		if (!changed) {
			return keepMap(request, skewBefore, ExpertPlan.Reason.GOOD_ENOUGH);
		}
		return decide(request, skewBefore, planned);
	}

	/**
	 * Plans one layer.
	 * @param request the request
	 * @param layer the layer
	 * @param current the layer on the map in use, not to be modified
	 * @param budget the weight loads that remain for this plan
	 * @return the layer to change to, or {@code current}
	 */
	abstract LayerPlacement planLayer(PlanRequest request, int layer, LayerPlacement current, LoadBudget budget);

	/**
	 * Returns the maximum number of weight loads of one plan.
	 * @param request the request
	 * @return the maximum number of expert weights that ranks load
	 */
	int maxWeightLoads(PlanRequest request) {
		return Integer.MAX_VALUE;
	}

	/**
	 * Plans all layers, in descending order of the gap between the slowest rank and the
	 * mean, so that the budget goes to the worst layers first.
	 * @param request the request
	 * @param current the layers on the map in use
	 * @param budget the weight loads that remain for this plan
	 * @return the layers to change to
	 */
	List<LayerPlacement> planLayers(PlanRequest request, List<LayerPlacement> current, LoadBudget budget) {
		List<LayerPlacement> planned = new ArrayList<>(current);
		IntStream.range(0, current.size())
			.boxed()
			.sorted(Comparator.comparingDouble((layer) -> current.get(layer).meanTime() - current.get(layer).maxTime()))
			.forEach((layer) -> planned.set(layer, planLayer(request, layer, current.get(layer), budget)));
		return planned;
	}

	/**
	 * Returns a plan that transfers no weights, because the gain of the planned moves
	 * does not justify their transfer.
	 * @param request the request
	 * @param skewBefore the skew on the map in use
	 * @return the plan; by default one that keeps the map in use
	 */
	ExpertPlan planWithoutMoves(PlanRequest request, double skewBefore) {
		return keepMap(request, skewBefore, ExpertPlan.Reason.COST_EXCEEDS_GAIN);
	}

	ExpertPlan decide(PlanRequest request, double skewBefore, List<LayerPlacement> planned) {
		ExpertMap map = assemble(request.current(), planned);
		double skewAfter = skew(planned);
		if (skewAfter >= skewBefore) {
			return keepMap(request, skewBefore, ExpertPlan.Reason.NO_GAIN);
		}
		int weightLoads = map.weightLoads(request.current());
		if (weightLoads > 0 && !worthwhile(request, skewBefore, skewAfter, weightLoads)) {
			return planWithoutMoves(request, skewBefore);
		}
		ExpertPlan.Reason reason = (weightLoads > 0) ? ExpertPlan.Reason.MOVES : ExpertPlan.Reason.SHARES_ONLY;
		long bytes = weightLoads * request.weights().expertBytes();
		return new ExpertPlan(map, weightLoads, bytes, skewBefore, skewAfter, reason);
	}

	static ExpertPlan keepMap(PlanRequest request, double skew, ExpertPlan.Reason reason) {
		return new ExpertPlan(request.current(), 0, 0, skew, skew, reason);
	}

	static List<LayerPlacement> currentLayers(PlanRequest request, boolean equalShares) {
		List<LayerPlacement> layers = new ArrayList<>();
		for (int layer = 0; layer < request.expertLoads().length; layer++) {
			layers.add(currentLayer(request, layer, equalShares));
		}
		return layers;
	}

	static LayerPlacement currentLayer(PlanRequest request, int layer, boolean equalShares) {
		return LayerPlacement.of(request.current(), layer, request.expertLoads()[layer], request.speeds(), equalShares);
	}

	static double skew(List<LayerPlacement> layers) {
		double maxTime = 0;
		double meanTime = 0;
		for (LayerPlacement layer : layers) {
			maxTime += layer.maxTime();
			meanTime += layer.meanTime();
		}
		return (meanTime > 0) ? maxTime / meanTime : 1;
	}

	static ExpertMap assemble(ExpertMap current, List<LayerPlacement> layers) {
		GroupShape shape = current.shape();
		short[] experts = new short[shape.layers() * shape.slotsPerLayer()];
		short[] shares = new short[experts.length];
		for (int layer = 0; layer < layers.size(); layer++) {
			layers.get(layer).store(layer, experts, shares);
		}
		return ExpertMap.of(current.version() + 1, shape, experts, shares);
	}

	private static boolean worthwhile(PlanRequest request, double skewBefore, double skewAfter, int weightLoads) {
		PlanProfile profile = request.profile();
		double savedSeconds = (skewBefore - skewAfter) / skewBefore * profile.horizonSeconds();
		return savedSeconds * profile.skewWeight() > request.weights().transferSeconds(weightLoads)
				* profile.costWeight();
	}

}
