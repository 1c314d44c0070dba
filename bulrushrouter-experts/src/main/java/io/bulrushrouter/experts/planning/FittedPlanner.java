package io.bulrushrouter.experts.planning;

import java.util.ArrayList;
import java.util.List;

/**
 * Fits the shares of the replicas that are there, and moves weights only in layers where
 * that is not enough.
 */
final class FittedPlanner extends LayerPlanner {

	private static final int SWEEPS = 30;

	private static final double WORTH_CHANGING = 0.5;

	@Override
	LayerFit planLayer(PlanRequest request, int layer, LayerFit current, boolean mayMove) {
		PlanProfile profile = request.profile();
		double skew = current.skew();
		if (skew <= profile.shareSkew()) {
			return current;
		}
		LayerFit fitted = copy(request, layer, false);
		double reached = fitted.fit(1 + (profile.shareSkew() - 1) / 4, SWEEPS);
		if (mayMove && reached > profile.moveSkew()) {
			new LayerMoves(fitted, request.instances()).lower(profile.targetSkew(),
					request.current().shape().slotsOfLayer());
			return fitted;
		}
		boolean worth = skew - reached > WORTH_CHANGING * (profile.shareSkew() - 1);
		return worth ? fitted : current;
	}

	@Override
	ExpertPlan planWithoutMoves(PlanRequest request, double skewBefore) {
		PlanRequest still = new PlanRequest(request.current(), request.loads(), request.speeds(), request.instances(),
				request.profile(), request.weights(), request.attended(), -1);
		List<LayerFit> after = new ArrayList<>();
		for (int layer = 0; layer < request.loads().length; layer++) {
			after.add(planLayer(still, layer, copy(request, layer, false), false));
		}
		return decide(still, skewBefore, after);
	}

}
