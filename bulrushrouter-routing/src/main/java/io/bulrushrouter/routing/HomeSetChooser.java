package io.bulrushrouter.routing;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.random.RandomGenerator;

import io.bulrushrouter.kernel.UpstreamId;

/**
 * Probes the few upstreams that rendezvous hashing names as home of a prompt's prefix and
 * a few others, and takes the lowest cost among those with fresh reports. Without fresh
 * reports it takes the lowest cost of the same few by what is known. Requests without a
 * prefix have a random home.
 *
 * <p>
 * Where a report is stale, the mean queue is assumed. Requests with a prefix spread by
 * their homes; for those without one, the queue is drawn from an exponential distribution
 * about that mean, so that entries with the same stale reports do not choose the same
 * upstream.
 *
 * <p>
 * A home of lower rank costs more for an uncached prefix, so that a prefix is not cached
 * in more places than its load needs.
 */
public final class HomeSetChooser implements UpstreamChooser {

	/** Age up to which a report counts as fresh, in nanoseconds. */
	private static final long MAX_FRESH_AGE_NANOS = 20_000_000L;

	private final int homeCount;

	private final int randomCount;

	private HomeSetChooser(int homes, int others) {
		this.homeCount = homes;
		this.randomCount = others;
	}

	/**
	 * Returns the chooser.
	 * @param homes how many home upstreams to probe
	 * @param others how many upstreams drawn at random to probe
	 * @return the chooser
	 */
	public static HomeSetChooser of(int homes, int others) {
		return new HomeSetChooser(homes, others);
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
		Shortlist few = probeSet(query, upstreams, random);
		return cheapest(query, table, upstreams, few, nowNanos, random, ChoiceReason.LOWEST_COST);
	}

	private Choice cheapest(RouteQuery query, UpstreamTable table, ModelUpstreams upstreams, Shortlist byRank,
			long nowNanos, RandomGenerator random, ChoiceReason reason) {
		Shortlist byCost = new Shortlist(this.homeCount + this.randomCount);
		double pressure = upstreams.meanReportedTokens() / Math.max(1, query.promptTokens());
		for (int i = 0; i < byRank.size(); i++) {
			double weight = table.costModel().cacheMissWeight() * pressure * (1 + i);
			double cost = table.costModel()
				.costMillis(byRank.view(i), upstreams, query, weight, queueFactor(query, random), nowNanos);
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
		Shortlist home = new Shortlist(this.homeCount);
		long digest = (query.prefixTokens() > 0) ? query.prefixDigest() : random.nextLong();
		for (int i = 0; i < upstreams.size(); i++) {
			UpstreamView view = upstreams.get(i);
			if (Eligibility.isEligible(view, query, random)) {
				home.offer(view, -Choosers.rendezvousScore(digest, view));
			}
		}
		return home;
	}

	private Shortlist probeSet(RouteQuery query, ModelUpstreams upstreams, RandomGenerator random) {
		Shortlist home = homeSet(query, upstreams, random);
		Shortlist few = new Shortlist(this.homeCount + this.randomCount);
		for (int i = 0; i < home.size(); i++) {
			few.offer(home.view(i), 0);
		}
		for (int i = 0; i < this.randomCount; i++) {
			int index = Eligibility.draw(upstreams, query, random);
			if (index >= 0) {
				few.offer(upstreams.get(index), 0);
			}
		}
		return few;
	}

}
