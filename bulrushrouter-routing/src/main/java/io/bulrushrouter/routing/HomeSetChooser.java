package io.bulrushrouter.routing;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.random.RandomGenerator;

import io.bulrushrouter.kernel.UpstreamId;

/**
 * Probes the home set of a prompt's prefix, which are the upstreams with the highest
 * rendezvous hashes, and some upstreams drawn at random, and takes the lowest cost among
 * the upstreams with fresh reports. Without fresh reports it takes the lowest cost in the
 * home set and the random draws by the last reports. Requests without a prefix have a
 * random home set.
 *
 * <p>
 * Where a report is stale, the mean queue is assumed. Requests with a prefix are spread
 * by their home sets. For those without one, the assumed queue is drawn from an
 * exponential distribution with that mean, so that entries with the same stale reports do
 * not all choose the same upstream.
 *
 * <p>
 * The penalty for an uncached prefix rises with the upstream's rank by rendezvous hash,
 * so that a prefix is not cached on more upstreams than its load needs.
 */
public final class HomeSetChooser implements UpstreamChooser {

	/** Largest age of a report that counts as fresh, in nanoseconds. */
	private static final long MAX_FRESH_AGE_NANOS = 20_000_000L;

	private final int homeCount;

	private final int randomCount;

	private HomeSetChooser(int homeCount, int randomCount) {
		this.homeCount = homeCount;
		this.randomCount = randomCount;
	}

	/**
	 * Returns a chooser.
	 * @param homeCount the size of the home set, all of which is probed
	 * @param randomCount the number of randomly drawn upstreams that are probed as well
	 * @return the chooser
	 */
	public static HomeSetChooser of(int homeCount, int randomCount) {
		return new HomeSetChooser(homeCount, randomCount);
	}

	@Override
	public List<UpstreamId> probes(RouteQuery query, UpstreamTable table, long nowNanos, RandomGenerator random) {
		Optional<ModelUpstreams> upstreams = table.upstreams(query.model());
		if (upstreams.isEmpty()) {
			return List.of();
		}
		Shortlist shortlist = probeSet(query, upstreams.get(), random);
		List<UpstreamId> ids = new ArrayList<>(shortlist.size());
		for (int i = 0; i < shortlist.size(); i++) {
			ids.add(shortlist.view(i).id());
		}
		return ids;
	}

	@Override
	public Choice choose(RouteQuery query, UpstreamTable table, long nowNanos, RandomGenerator random) {
		return Choosers.chooseForModel(query, table,
				(upstreams) -> chooseAmong(query, table, upstreams, nowNanos, random));
	}

	private Choice chooseAmong(RouteQuery query, UpstreamTable table, ModelUpstreams upstreams, long nowNanos,
			RandomGenerator random) {
		Shortlist fresh = freshUpstreams(query, upstreams, nowNanos, random);
		if (!fresh.isEmpty()) {
			return cheapest(query, table, upstreams, fresh, nowNanos, random, ChoiceReason.FRESHEST);
		}
		Shortlist probeSet = probeSet(query, upstreams, random);
		return cheapest(query, table, upstreams, probeSet, nowNanos, random, ChoiceReason.LOWEST_COST);
	}

	private Choice cheapest(RouteQuery query, UpstreamTable table, ModelUpstreams upstreams, Shortlist byRank,
			long nowNanos, RandomGenerator random, ChoiceReason reason) {
		Shortlist byCost = new Shortlist(this.homeCount + this.randomCount);
		double meanQueuedRequests = upstreams.meanReportedTokens() / Math.max(1, query.promptTokens());
		for (int i = 0; i < byRank.size(); i++) {
			double missWeight = table.costModel().cacheMissWeight() * meanQueuedRequests * (1 + i);
			double cost = table.costModel()
				.costMillis(byRank.view(i), upstreams, query, missWeight, queueFactor(query, random), nowNanos);
			byCost.offer(byRank.view(i), cost);
		}
		return Choosers.toChoice(byCost, reason);
	}

	private static double queueFactor(RouteQuery query, RandomGenerator random) {
		return (query.prefixTokens() > 0) ? 1 : random.nextExponential();
	}

	private Shortlist freshUpstreams(RouteQuery query, ModelUpstreams upstreams, long nowNanos,
			RandomGenerator random) {
		Shortlist fresh = new Shortlist(this.homeCount + this.randomCount);
		for (int i = 0; i < upstreams.size(); i++) {
			UpstreamView view = upstreams.get(i);
			if (view.ageNanos(nowNanos) <= MAX_FRESH_AGE_NANOS && Eligibility.isEligible(view, query, random)) {
				fresh.offer(view, -Choosers.rendezvousScore(query.prefixDigest(), view));
			}
		}
		return fresh;
	}

	private Shortlist homeSet(RouteQuery query, ModelUpstreams upstreams, RandomGenerator random) {
		Shortlist homeSet = new Shortlist(this.homeCount);
		long digest = (query.prefixTokens() > 0) ? query.prefixDigest() : random.nextLong();
		for (int i = 0; i < upstreams.size(); i++) {
			UpstreamView view = upstreams.get(i);
			if (Eligibility.isEligible(view, query, random)) {
				homeSet.offer(view, -Choosers.rendezvousScore(digest, view));
			}
		}
		return homeSet;
	}

	private Shortlist probeSet(RouteQuery query, ModelUpstreams upstreams, RandomGenerator random) {
		Shortlist homeSet = homeSet(query, upstreams, random);
		Shortlist probeSet = new Shortlist(this.homeCount + this.randomCount);
		for (int i = 0; i < homeSet.size(); i++) {
			probeSet.offer(homeSet.view(i), 0);
		}
		for (int i = 0; i < this.randomCount; i++) {
			int index = Eligibility.draw(upstreams, query, random);
			if (index >= 0) {
				probeSet.offer(upstreams.get(index), 0);
			}
		}
		return probeSet;
	}

}
