package io.bulrushrouter.experts.planning;

/**
 * Builds layers above the wanted skew from nothing, whatever the map in use holds.
 */
final class AnewPlanner extends LayerPlanner {

	@Override
	LayerFit planLayer(PlanRequest request, int layer, LayerFit current, LoadBudget budget) {
		PlanProfile profile = request.profile();
		if (budget.isEmpty() || current.skew() <= profile.moveSkew()) {
			return current;
		}
		return LayerBuilder.build(request.current().shape(), request.loads()[layer], request.speeds());
	}

}
