package io.bulrushrouter.experts.planning;

/**
 * Builds layers above the wanted skew from nothing, whatever the map in use holds.
 */
final class RebuildPlanner extends LayerPlanner {

	@Override
	LayerPlacement planLayer(PlanRequest request, int layer, LayerPlacement current, LoadBudget budget) {
		PlanProfile profile = request.profile();
		if (budget.isEmpty() || current.skew() <= profile.moveSkew()) {
			return current;
		}
		return LayerBuilder.build(request.current().shape(), request.expertLoads()[layer], request.speeds());
	}

}
