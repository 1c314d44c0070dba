package io.bulrushrouter.routing;

import java.util.Optional;
import java.util.random.RandomGenerator;

import com.dynatrace.hash4j.hashing.Hasher64;
import com.dynatrace.hash4j.hashing.Hashing;

/**
 * Creates the choosers that need no probes, and holds what the choosers share.
 */
public final class Choosers {

	private static final int MAX_CANDIDATES = 3;

	private static final Hasher64 HASHER = Hashing.komihash5_0();

	private Choosers() {
	}

	/**
	 * Returns a chooser that draws an upstream at random.
	 * @return the chooser
	 */
	public static UpstreamChooser ofRandom() {
		return (query, table, now, random) -> chooseForModel(query, table,
				(upstreams) -> chooseFromDrawn(query, upstreams, 1, (view) -> 0, random, ChoiceReason.RANDOM));
	}

	/**
	 * Returns a chooser that draws two upstreams at random and takes the one with fewer
	 * queued tokens, as in Mitzenmacher, The Power of Two Choices in Randomized Load
	 * Balancing (2001).
	 * @return the chooser
	 */
	public static UpstreamChooser ofLeastLoadedOfTwo() {
		return (query, table, now, random) -> chooseForModel(query, table, (upstreams) -> chooseFromDrawn(query,
				upstreams, 2, Choosers::queuedTokens, random, ChoiceReason.LOWEST_COST));
	}

	/**
	 * Returns a chooser that takes the upstream with the fewest queued tokens.
	 * @return the chooser
	 */
	public static UpstreamChooser ofLeastLoaded() {
		return (query, table, now, random) -> chooseForModel(query, table, (upstreams) -> chooseFromAll(query,
				upstreams, Choosers::queuedTokens, random, ChoiceReason.LOWEST_COST));
	}

	/**
	 * Returns a chooser that takes the upstream with the highest rendezvous hash for the
	 * prompt's prefix, as in Thaler and Ravishankar, Using Name-Based Mappings to
	 * Increase Hit Rates (1998).
	 * @return the chooser
	 */
	public static UpstreamChooser ofPrefixAffine() {
		return (query, table, now, random) -> chooseForModel(query, table, (upstreams) -> chooseFromAll(query,
				upstreams, (view) -> -rendezvousScore(query.prefixDigest(), view), random, ChoiceReason.PREFIX));
	}

	/**
	 * Returns a chooser that takes the upstream with the lowest cost by the last reports
	 * and the entry's own requests in flight.
	 * @return the chooser
	 */
	public static UpstreamChooser ofCombinedCost() {
		return (query, table, now, random) -> chooseForModel(query, table,
				(upstreams) -> chooseFromAll(query, upstreams,
						(view) -> table.costModel()
							.costMillis(view, upstreams, query, table.costModel().cacheMissWeight(), 1, now),
						random, ChoiceReason.LOWEST_COST));
	}

	static Choice chooseForModel(RouteQuery query, UpstreamTable table, ModelChooser chooser) {
		Optional<ModelUpstreams> upstreams = table.upstreams(query.model());
		if (upstreams.isEmpty()) {
			return Choice.ofNone(ChoiceReason.UNKNOWN_MODEL);
		}
		return chooser.choose(upstreams.get());
	}

	static Choice toChoice(Shortlist shortlist, ChoiceReason reason) {
		if (shortlist.isEmpty()) {
			return Choice.ofNone(ChoiceReason.NONE_LIVE);
		}
		return Choice.of(shortlist.candidates(), reason);
	}

	static double rendezvousScore(long digest, UpstreamView view) {
		long hash = HASHER.hashLongLongToLong(digest, view.hash());
		return (hash >>> 11) * 0x1p-53;
	}

	private static Choice chooseFromDrawn(RouteQuery query, ModelUpstreams upstreams, int draws, Scorer scorer,
			RandomGenerator random, ChoiceReason reason) {
		Shortlist shortlist = new Shortlist(draws);
		for (int i = 0; i < draws; i++) {
			int index = Eligibility.draw(upstreams, query, random);
			if (index >= 0) {
				shortlist.offer(upstreams.get(index), scorer.score(upstreams.get(index)));
			}
		}
		return toChoice(shortlist, reason);
	}

	private static Choice chooseFromAll(RouteQuery query, ModelUpstreams upstreams, Scorer scorer,
			RandomGenerator random, ChoiceReason reason) {
		Shortlist shortlist = new Shortlist(MAX_CANDIDATES);
		int start = random.nextInt(upstreams.size());
		for (int i = 0; i < upstreams.size(); i++) {
			UpstreamView view = upstreams.get((start + i) % upstreams.size());
			if (Eligibility.isEligible(view, query, random)) {
				shortlist.offer(view, scorer.score(view));
			}
		}
		return toChoice(shortlist, reason);
	}

	private static double queuedTokens(UpstreamView view) {
		return view.reportedTokens() + view.unreportedTokens();
	}

	/**
	 * Chooses among the upstreams of a model.
	 */
	@FunctionalInterface
	interface ModelChooser {

		Choice choose(ModelUpstreams upstreams);

	}

	/**
	 * Scores an upstream; the lowest score is best.
	 */
	@FunctionalInterface
	interface Scorer {

		double score(UpstreamView view);

	}

}
