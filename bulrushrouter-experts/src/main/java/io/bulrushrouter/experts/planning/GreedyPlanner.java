package io.bulrushrouter.experts.planning;

/**
 * Moves replicas one at a time in layers above the wanted skew; all replicas of an expert
 * take equal shares.
 */
final class GreedyPlanner extends LayerPlanner {

	private static final LayerMoves.Width WIDTH = new LayerMoves.Width(2, 8);

	@Override
	LayerFit planLayer(PlanRequest request, int layer, LayerFit current, LoadBudget budget) {
		PlanProfile profile = request.profile();
		if (budget.isEmpty() || current.skew() <= profile.moveSkew()) {
			return current;
		}
		LayerFit moved = copy(request, layer, true);
		moved.fit(profile.targetSkew(), 1);
		new LayerMoves(moved, request.instances(), WIDTH).lower(profile.targetSkew(),
				request.current().shape().slotsPerLayer());
		return (moved.skew() < current.skew()) ? moved : current;
	}

}
