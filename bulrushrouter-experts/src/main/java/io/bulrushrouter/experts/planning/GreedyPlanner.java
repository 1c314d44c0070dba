package io.bulrushrouter.experts.planning;

/**
 * Moves replicas one at a time in layers whose skew exceeds
 * {@link PlanProfile#moveSkew()}. All replicas of an expert take equal shares.
 */
final class GreedyPlanner extends LayerPlanner {

	private static final LayerMoveSearch.SearchWidth SEARCH_WIDTH = new LayerMoveSearch.SearchWidth(2, 8);

	@Override
	LayerPlacement planLayer(PlanRequest request, int layer, LayerPlacement current, LoadBudget budget) {
		PlanProfile profile = request.profile();
		if (budget.isEmpty() || current.skew() <= profile.moveSkew()) {
			return current;
		}
		LayerPlacement moved = currentLayer(request, layer, true);
		moved.fitShares(profile.targetSkew(), 1);
		new LayerMoveSearch(moved, request.instances(), SEARCH_WIDTH).lowerSkew(profile.targetSkew(),
				request.current().shape().slotsPerLayer());
		return (moved.skew() < current.skew()) ? moved : current;
	}

}
