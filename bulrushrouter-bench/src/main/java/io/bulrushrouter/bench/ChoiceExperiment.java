package io.bulrushrouter.bench;

import java.io.PrintStream;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;

import org.HdrHistogram.Histogram;

import io.bulrushrouter.bench.ChoiceModel.Way;
import io.bulrushrouter.bench.ChoiceScenario.Sharing;
import io.bulrushrouter.bench.ModelUpstream.Prompt;
import io.bulrushrouter.routing.Candidate;
import io.bulrushrouter.routing.Choice;
import io.bulrushrouter.routing.ChoiceReason;
import io.bulrushrouter.routing.Choosers;
import io.bulrushrouter.routing.CostModel;
import io.bulrushrouter.routing.HomeSetChooser;
import io.bulrushrouter.routing.RouteQuery;
import io.bulrushrouter.routing.UpstreamChooser;

/**
 * Weighs the ways of choosing an upstream on the same seeds, against one that knows all.
 */
final class ChoiceExperiment implements Experiment {

	static final String LEAST_OF_TWO = "least-of-two";

	static final String HOME_SET = "home-set 3+1";

	/** Largest 95th percentile relative to least-loaded-of-two. */
	private static final double LARGEST_RATIO = 0.7;

	/** Time to first token for 95 in 100, in milliseconds. */
	private static final double TARGET_MILLIS = 410;

	private static final double SECONDS = 120;

	private static final int SEEDS = 3;

	@Override
	public boolean run(PrintStream out) {
		boolean held = DecisionCost.holds(out);
		for (ChoiceScenario scenario : boundScenarios(SECONDS)) {
			held &= holds(out, scenario, table(out, scenario, SEEDS));
		}
		for (ChoiceScenario scenario : furtherScenarios(SECONDS)) {
			table(out, scenario, SEEDS);
		}
		return held;
	}

	/**
	 * Returns the scenarios that the bounds apply to: least-loaded-of-two keeps upstreams
	 * busy for 85% of the time.
	 * @param seconds simulated time
	 * @return the scenarios
	 */
	static List<ChoiceScenario> boundScenarios(double seconds) {
		return List.of(ChoiceScenario.of("shared prefixes", seconds),
				ChoiceScenario.of("shared prefixes, one upstream at a third of its speed", seconds).slow(1),
				ChoiceScenario.of("no shared prefixes", seconds)
					.prompts(Sharing.NONE, ChoiceScenario.UNSHARED_PER_SECOND),
				ChoiceScenario.of("no shared prefixes, one upstream at a third of its speed", seconds)
					.prompts(Sharing.NONE, ChoiceScenario.UNSHARED_PER_SECOND)
					.slow(1));
	}

	private static List<ChoiceScenario> furtherScenarios(double seconds) {
		return List.of(ChoiceScenario.of("three engines lie", seconds).lying(3),
				ChoiceScenario.of("half of the prompts have one prefix", seconds)
					.prompts(Sharing.HOT, ChoiceScenario.REQUESTS_PER_SECOND * 2),
				ChoiceScenario.of("reports every 250 ms", seconds).reports(250),
				ChoiceScenario.of("reports every 6 s", seconds).reports(6_000),
				ChoiceScenario.of("4 entries, 12 upstreams", seconds).size(4, 12),
				ChoiceScenario.of("shared prefixes, full load", seconds)
					.prompts(Sharing.ORGANISATION, ChoiceScenario.FULL_PER_SECOND));
	}

	static Map<String, ChoiceResult> table(PrintStream out, ChoiceScenario scenario, int seeds) {
		out.printf(Locale.ROOT, "%n%s: %d entries, %d upstreams, %.0f requests/s%n%n", scenario.name(),
				scenario.entries(), scenario.upstreams(), scenario.requestsPerSecond());
		out.println("| way | mean ms | p50 ms | p95 ms | p99 ms | busy | prefix hits | probes/request |");
		out.println("|---|---|---|---|---|---|---|---|");
		Map<String, ChoiceResult> results = new LinkedHashMap<>();
		for (Way way : ways()) {
			ChoiceResult result = merged(scenario, way, seeds);
			results.put(way.name(), result);
			print(out, way.name(), result);
		}
		return results;
	}

	private static ChoiceResult merged(ChoiceScenario scenario, Way way, int seeds) {
		Histogram all = new Histogram(3);
		double busy = 0;
		double hits = 0;
		double probes = 0;
		for (int seed = 1; seed <= seeds; seed++) {
			ChoiceResult result = ChoiceModel.run(scenario, way, seed);
			all.add(result.firstTokenMicros());
			busy += result.busy() / seeds;
			hits += result.hits() / seeds;
			probes += result.probesPerRequest() / seeds;
		}
		return new ChoiceResult(all, busy, hits, probes);
	}

	private static void print(PrintStream out, String name, ChoiceResult result) {
		out.printf(Locale.ROOT, "| %s | %.0f | %.0f | %.0f | %.0f | %.2f | %.2f | %.1f |%n", name, result.meanMillis(),
				result.p50Millis(), result.p95Millis(), result.p99Millis(), result.busy(), result.hits(),
				result.probesPerRequest());
	}

	/**
	 * Tells whether the bounds hold for the home set: against least-loaded-of-two, the
	 * target, and nearest to the all-knowing way.
	 * @param out takes the figures
	 * @param scenario the scenario
	 * @param results the results by way
	 * @return whether they hold
	 */
	static boolean holds(PrintStream out, ChoiceScenario scenario, Map<String, ChoiceResult> results) {
		double ours = results.get(HOME_SET).p95Millis();
		double ratio = ours / results.get(LEAST_OF_TWO).p95Millis();
		double best = lowest(results, true);
		double next = lowest(results, false);
		out.printf(Locale.ROOT,
				"%n%s: p95 %.2f of least-of-two (bound %.2f), %.0f ms (bound %.0f), "
						+ "%.2f of all-knowing, next best %.2f%n",
				scenario.name(), ratio, LARGEST_RATIO, ours, TARGET_MILLIS, ours / best, next / best);
		return ratio <= LARGEST_RATIO && ours <= TARGET_MILLIS && Math.abs(ours - best) <= Math.abs(next - best);
	}

	private static double lowest(Map<String, ChoiceResult> results, boolean allKnowing) {
		return results.entrySet()
			.stream()
			.filter((entry) -> !entry.getKey().startsWith("home-set"))
			.filter((entry) -> entry.getKey().startsWith("all-knowing") == allKnowing)
			.mapToDouble((entry) -> entry.getValue().p95Millis())
			.min()
			.orElseThrow();
	}

	static List<Way> ways() {
		CostModel costs = CostModel.ofDefaults();
		List<Way> ways = new ArrayList<>();
		ways.add(new Way("random", costs, (all) -> Choosers.ofRandom()));
		ways.add(new Way(LEAST_OF_TWO, costs, (all) -> Choosers.ofLeastLoadedOfTwo()));
		ways.add(new Way("least-of-all", costs, (all) -> Choosers.ofLeastLoaded()));
		ways.add(new Way("prefix-affine", costs, (all) -> Choosers.ofPrefixAffine()));
		ways.add(new Way("combined cost", costs, (all) -> Choosers.ofCombinedCost()));
		ways.add(new Way("two fresh probes", costs, (all) -> HomeSetChooser.of(0, 2)));
		ways.add(new Way("home-set 3+1, no probes", costs, (all) -> HomeSetChooser.of(3, 1)::choose));
		ways.add(new Way("home-set 2+2", costs, (all) -> HomeSetChooser.of(2, 2)));
		ways.add(new Way(HOME_SET, costs, (all) -> HomeSetChooser.of(3, 1)));
		ways.add(new Way("home-set 4+0", costs, (all) -> HomeSetChooser.of(4, 0)));
		ways.add(new Way("all-knowing, greedy", costs, (all) -> ofAllKnowing(all, 0)));
		ways.add(new Way("all-knowing, misses weigh 3", costs, (all) -> ofAllKnowing(all, 3)));
		return ways;
	}

	private static UpstreamChooser ofAllKnowing(List<ModelUpstream> upstreams, double missWeight) {
		return (query, table, now, random) -> {
			ModelUpstream best = upstreams.get(0);
			double lowest = Double.MAX_VALUE;
			for (ModelUpstream upstream : upstreams) {
				double cost = exactCost(upstream, query, missWeight);
				if (cost < lowest) {
					lowest = cost;
					best = upstream;
				}
			}
			return Choice.of(List.of(new Candidate(best.spec.id(), lowest)), ChoiceReason.LOWEST_COST);
		};
	}

	private static double exactCost(ModelUpstream upstream, RouteQuery query, double missWeight) {
		Prompt prompt = new Prompt(0, query.prefixDigest(), query.prefixTokens(), query.promptTokens(), () -> {
		});
		double distance = ChoiceModel.DISTANCE.roundTripMillis(query.dataCentre(), upstream.spec.dataCentre());
		return distance + upstream.exactWaitMillis() + (1 + missWeight) * upstream.exactWorkMillis(prompt);
	}

}
