package io.bulrushrouter.experts.planning;

/**
 * Builds layers above the wanted skew from nothing, whatever the map in use holds.
 */
final class AnewPlanner extends LayerPlanner {

	private static final int SWEEPS = 30;

	@Override
	LayerFit planLayer(PlanRequest request, int layer, LayerFit current, boolean mayMove) {
		PlanProfile profile = request.profile();
		if (!mayMove || current.skew() <= profile.moveSkew()) {
			return current;
		}
		LayerFit built = LayerBuilder.build(request.current().shape(), request.loads()[layer], request.speeds());
		built.fit(1 + (profile.targetSkew() - 1) / 2, SWEEPS);
		return built;
	}

}
