package io.bulrushrouter.routing;

import java.util.random.RandomGenerator;

/**
 * The rule for which upstreams may take a request, shared by all ways of choosing.
 */
final class Eligible {

	/** Draws before {@link #draw} searches from a random place instead. */
	private static final int DRAWS = 4;

	private Eligible() {
	}

	static boolean mayTake(UpstreamView view, RouteQuery query, RandomGenerator random) {
		return isOpen(view, query) && (view.trafficShare() >= 1 || random.nextDouble() < view.trafficShare());
	}

	private static boolean isOpen(UpstreamView view, RouteQuery query) {
		return view.state() == UpstreamState.LIVE
				&& (query.excluded().isEmpty() || !query.excluded().contains(view.id()));
	}

	static int draw(ModelUpstreams upstreams, RouteQuery query, RandomGenerator random) {
		for (int i = 0; i < DRAWS; i++) {
			int index = random.nextInt(upstreams.size());
			if (mayTake(upstreams.get(index), query, random)) {
				return index;
			}
		}
		return search(upstreams, query, random.nextInt(upstreams.size()));
	}

	private static int search(ModelUpstreams upstreams, RouteQuery query, int start) {
		for (int i = 0; i < upstreams.size(); i++) {
			int index = (start + i) % upstreams.size();
			UpstreamView view = upstreams.get(index);
			if (isOpen(view, query)) {
				return index;
			}
		}
		return -1;
	}

}
