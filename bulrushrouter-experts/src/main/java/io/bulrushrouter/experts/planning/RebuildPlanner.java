package io.bulrushrouter.experts.planning;

/**
 * Rebuilds each layer whose skew exceeds {@link PlanProfile#moveSkew()} from scratch,
 * regardless of which replicas the ranks hold.
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
