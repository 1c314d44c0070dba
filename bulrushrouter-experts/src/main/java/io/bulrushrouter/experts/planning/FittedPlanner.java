package io.bulrushrouter.experts.planning;

import java.util.List;

/**
 * Fits the shares of the replicas that are there, and moves weights only in layers where
 * that is not enough.
 */
final class FittedPlanner extends LayerPlanner {

	private static final LayerMoves.Width WIDTH = new LayerMoves.Width(8, 32);

	private static final int SWEEPS = 150;

	private static final int MOST_MOVES = 16;

	private static final double MOST_SKEW_TO_MOVE = 2;

	private static final double WORTH_CHANGING = 0.5;

	@Override
	LayerFit planLayer(PlanRequest request, int layer, LayerFit current, LoadBudget budget) {
		PlanProfile profile = request.profile();
		double skew = current.skew();
		if (skew <= profile.shareSkew()) {
			return current;
		}
		LayerFit fitted = copy(request, layer, false);
		double reached = fitted.fit(1 + (profile.shareSkew() - 1) / 4, SWEEPS);
		if (!budget.isEmpty() && reached > profile.moveSkew()) {
			return moved(request, layer, current, fitted, budget);
		}
		boolean worth = skew - reached > WORTH_CHANGING * (profile.shareSkew() - 1);
		return worth ? fitted : current;
	}

	@Override
	int mostLoads(PlanRequest request) {
		PlanRequest.WeightStore weights = request.weights();
		return (int) (request.profile().transferSeconds() / weights.seconds(1));
	}

	private static LayerFit moved(PlanRequest request, int layer, LayerFit current, LayerFit fitted,
			LoadBudget budget) {
		PlanProfile profile = request.profile();
		boolean rebuild = fitted.skew() > MOST_SKEW_TO_MOVE;
		LayerFit built = LayerBuilder.buildNear(request.current().shape(), request.loads()[layer], request.speeds(),
				current);
		if (rebuild && budget.take(built.loads(current))) {
			return built;
		}
		LayerFit moved = fitted.copy();
		new LayerMoves(moved, request.instances(), WIDTH).lower(profile.targetSkew(),
				Math.min(MOST_MOVES, budget.left()));
		if (moved.skew() <= profile.moveSkew() && budget.take(moved.loads(current))) {
			return moved;
		}
		if (!rebuild && built.skew() < moved.skew() && budget.take(built.loads(current))) {
			return built;
		}
		return budget.take(moved.loads(current)) ? moved : fitted;
	}

	@Override
	ExpertPlan planWithoutMoves(PlanRequest request, double skewBefore) {
		PlanRequest still = new PlanRequest(request.current(), request.loads(), request.speeds(), request.instances(),
				request.profile(), request.weights(), request.attended(), -1);
		List<LayerFit> after = planLayers(still, layers(still, false), LoadBudget.of(0));
		return decide(still, skewBefore, after);
	}

}
