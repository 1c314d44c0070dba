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
	private static final long FRESH_NANOS = 20_000_000L;

	private final int homes;

	private final int others;

	private HomeSetChooser(int homes, int others) {
		this.homes = homes;
		this.others = others;
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
		Shortlist shortlist = few(query, upstreams.get(), random);
		List<UpstreamId> ids = new ArrayList<>(shortlist.size());
		for (int i = 0; i < shortlist.size(); i++) {
			ids.add(shortlist.view(i).id());
		}
		return ids;
	}

	@Override
	public Choice choose(RouteQuery query, UpstreamTable table, long nowNanos, RandomGenerator random) {
		return Choosers.ofModel(query, table, (upstreams) -> among(query, table, upstreams, nowNanos, random));
	}

	private Choice among(RouteQuery query, UpstreamTable table, ModelUpstreams upstreams, long nowNanos,
			RandomGenerator random) {
		Shortlist fresh = fresh(query, upstreams, nowNanos, random);
		if (!fresh.isEmpty()) {
			return cheapest(query, table, upstreams, fresh, nowNanos, random, ChoiceReason.FRESHEST);
		}
		Shortlist few = few(query, upstreams, random);
		return cheapest(query, table, upstreams, few, nowNanos, random, ChoiceReason.LOWEST_COST);
	}

	private Choice cheapest(RouteQuery query, UpstreamTable table, ModelUpstreams upstreams, Shortlist byRank,
			long nowNanos, RandomGenerator random, ChoiceReason reason) {
		Shortlist byCost = new Shortlist(this.homes + this.others);
		double pressure = upstreams.meanReportedTokens() / Math.max(1, query.promptTokens());
		for (int i = 0; i < byRank.size(); i++) {
			double weight = table.costs().missWeight() * pressure * (1 + i);
			double cost = table.costs()
				.costMillis(byRank.view(i), upstreams, query, weight, queueFactor(query, random), nowNanos);
			byCost.offer(byRank.view(i), cost);
		}
		return Choosers.chosen(byCost, reason);
	}

	private static double queueFactor(RouteQuery query, RandomGenerator random) {
		return (query.prefixTokens() > 0) ? 1 : random.nextExponential();
	}

	private Shortlist fresh(RouteQuery query, ModelUpstreams upstreams, long nowNanos, RandomGenerator random) {
		Shortlist fresh = new Shortlist(this.homes + this.others);
		for (int i = 0; i < upstreams.size(); i++) {
			UpstreamView view = upstreams.get(i);
			if (view.ageNanos(nowNanos) <= FRESH_NANOS && Eligible.mayTake(view, query, random)) {
				fresh.offer(view, -Choosers.rank(query.prefixDigest(), view));
			}
		}
		return fresh;
	}

	private Shortlist home(RouteQuery query, ModelUpstreams upstreams, RandomGenerator random) {
		Shortlist home = new Shortlist(this.homes);
		long digest = (query.prefixTokens() > 0) ? query.prefixDigest() : random.nextLong();
		for (int i = 0; i < upstreams.size(); i++) {
			UpstreamView view = upstreams.get(i);
			if (Eligible.mayTake(view, query, random)) {
				home.offer(view, -Choosers.rank(digest, view));
			}
		}
		return home;
	}

	private Shortlist few(RouteQuery query, ModelUpstreams upstreams, RandomGenerator random) {
		Shortlist home = home(query, upstreams, random);
		Shortlist few = new Shortlist(this.homes + this.others);
		for (int i = 0; i < home.size(); i++) {
			few.offer(home.view(i), 0);
		}
		for (int i = 0; i < this.others; i++) {
			int index = Eligible.draw(upstreams, query, random);
			if (index >= 0) {
				few.offer(upstreams.get(index), 0);
			}
		}
		return few;
	}

}
