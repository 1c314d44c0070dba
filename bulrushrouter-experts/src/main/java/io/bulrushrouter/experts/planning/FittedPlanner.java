package io.bulrushrouter.experts.planning;

import java.util.List;

/**
 * Fits the shares of the existing replicas, and moves weights only in layers whose skew
 * then still exceeds {@link PlanProfile#moveSkew()}.
 */
final class FittedPlanner extends LayerPlanner {

	private static final LayerMoveSearch.SearchWidth SEARCH_WIDTH = new LayerMoveSearch.SearchWidth(8, 32);

	private static final int MAX_SWEEPS = 150;

	private static final int MAX_MOVES_PER_LAYER = 16;

	private static final double REBUILD_SKEW = 2;

	private static final double MIN_GAIN_FRACTION = 0.5;

	@Override
	LayerPlacement planLayer(PlanRequest request, int layer, LayerPlacement current, LoadBudget budget) {
		PlanProfile profile = request.profile();
		double skew = current.skew();
		if (skew <= profile.shareSkew()) {
			return current;
		}
		LayerPlacement fitted = currentLayer(request, layer, false);
		double fittedSkew = fitted.fitShares(1 + (profile.shareSkew() - 1) / 4, MAX_SWEEPS);
		if (!budget.isEmpty() && fittedSkew > profile.moveSkew()) {
			return planMoves(request, layer, current, fitted, budget);
		}
		boolean worthwhile = skew - fittedSkew > MIN_GAIN_FRACTION * (profile.shareSkew() - 1);
		return worthwhile ? fitted : current;
	}

	@Override
	int maxWeightLoads(PlanRequest request) {
		PlanRequest.WeightStore weights = request.weights();
		return (int) (request.profile().maxTransferSeconds() / weights.transferSeconds(1));
	}

	private static LayerPlacement planMoves(PlanRequest request, int layer, LayerPlacement current,
			LayerPlacement fitted, LoadBudget budget) {
		PlanProfile profile = request.profile();
		boolean rebuild = fitted.skew() > REBUILD_SKEW;
		LayerPlacement rebuilt = LayerBuilder.buildReusing(request.current().shape(), request.expertLoads()[layer],
				request.speeds(), current);
		if (rebuild && budget.tryTake(rebuilt.weightLoads(current))) {
			return rebuilt;
		}
		LayerPlacement moved = fitted.copy();
		new LayerMoveSearch(moved, request.instances(), SEARCH_WIDTH).lowerSkew(profile.targetSkew(),
				Math.min(MAX_MOVES_PER_LAYER, budget.remaining()));
		if (moved.skew() <= profile.moveSkew() && budget.tryTake(moved.weightLoads(current))) {
			return moved;
		}
		if (!rebuild && rebuilt.skew() < moved.skew() && budget.tryTake(rebuilt.weightLoads(current))) {
			return rebuilt;
		}
		return budget.tryTake(moved.weightLoads(current)) ? moved : fitted;
	}

	@Override
	ExpertPlan planWithoutMoves(PlanRequest request, double skewBefore) {
		PlanRequest withoutMoves = new PlanRequest(request.current(), request.expertLoads(), request.speeds(),
				request.instances(), request.profile(), request.weights(), request.attended(), -1);
		List<LayerPlacement> planned = planLayers(withoutMoves, currentLayers(withoutMoves, false), LoadBudget.of(0));
		return decide(withoutMoves, skewBefore, planned);
	}

}
