package io.bulrushrouter.routing;

import java.util.random.RandomGenerator;

/**
 * Decides which upstreams may take a request, for all choosers.
 */
final class Eligibility {

	/**
	 * Random draws before {@link #draw} searches linearly from a random position instead.
	 */
	private static final int MAX_DRAWS = 4;

	private Eligibility() {
	}

	static boolean isEligible(UpstreamView view, RouteQuery query, RandomGenerator random) {
		return isAvailable(view, query) && (view.trafficShare() >= 1 || random.nextDouble() < view.trafficShare());
	}

	private static boolean isAvailable(UpstreamView view, RouteQuery query) {
		return view.state() == UpstreamState.LIVE
				&& (query.excluded().isEmpty() || !query.excluded().contains(view.id()));
	}

	static int draw(ModelUpstreams upstreams, RouteQuery query, RandomGenerator random) {
		for (int i = 0; i < MAX_DRAWS; i++) {
			int index = random.nextInt(upstreams.size());
			if (isEligible(upstreams.get(index), query, random)) {
				return index;
			}
		}
		return search(upstreams, query, random.nextInt(upstreams.size()));
	}

	private static int search(ModelUpstreams upstreams, RouteQuery query, int start) {
		for (int i = 0; i < upstreams.size(); i++) {
			int index = (start + i) % upstreams.size();
			UpstreamView view = upstreams.get(index);
			if (isAvailable(view, query)) {
				return index;
			}
		}
		return -1;
	}

}
