package io.bulrushrouter.bench;

import java.io.PrintStream;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;

import org.HdrHistogram.Histogram;

import io.bulrushrouter.bench.ChoiceModel.Strategy;
import io.bulrushrouter.bench.ChoiceScenario.Sharing;
import io.bulrushrouter.bench.SimulatedUpstream.Prompt;
import io.bulrushrouter.routing.Candidate;
import io.bulrushrouter.routing.Choice;
import io.bulrushrouter.routing.ChoiceReason;
import io.bulrushrouter.routing.Choosers;
import io.bulrushrouter.routing.CostModel;
import io.bulrushrouter.routing.HomeSetChooser;
import io.bulrushrouter.routing.RouteQuery;
import io.bulrushrouter.routing.UpstreamChooser;

/**
 * Compares strategies for choosing an upstream on the same seeds, including an oracle
 * that sees the exact state of every upstream.
 */
final class ChoiceExperiment implements Experiment {

	static final String LEAST_OF_TWO = "least-of-two";

	static final String HOME_SET = "home-set 3+1";

	/** Maximum 95th percentile of the home set, relative to least-loaded-of-two. */
	private static final double MAX_P95_RATIO = 0.7;

	/** Maximum 95th percentile of the time to first token, in milliseconds. */
	private static final double MAX_P95_MILLIS = 410;

	private static final double DURATION_SECONDS = 120;

	private static final int SEEDS = 3;

	@Override
	public boolean run(PrintStream out) {
		boolean withinBounds = DecisionCost.checkBound(out);
		for (ChoiceScenario scenario : boundScenarios(DURATION_SECONDS)) {
			withinBounds &= checkBounds(out, scenario, runAndPrintTable(out, scenario, SEEDS));
		}
		for (ChoiceScenario scenario : unboundedScenarios(DURATION_SECONDS)) {
			runAndPrintTable(out, scenario, SEEDS);
		}
		return withinBounds;
	}

	/**
	 * Returns the scenarios to which the bounds apply. At their rates least-loaded-of-two
	 * keeps the upstreams busy for 85% of the time.
	 * @param seconds the simulated time, in seconds
	 * @return the scenarios
	 */
	static List<ChoiceScenario> boundScenarios(double seconds) {
		return List.of(ChoiceScenario.of("shared prefixes", seconds),
				ChoiceScenario.of("shared prefixes, one upstream at a third of its speed", seconds).withSlow(1),
				ChoiceScenario.of("no shared prefixes", seconds)
					.withPrompts(Sharing.NONE, ChoiceScenario.UNSHARED_REQUESTS_PER_SECOND),
				ChoiceScenario.of("no shared prefixes, one upstream at a third of its speed", seconds)
					.withPrompts(Sharing.NONE, ChoiceScenario.UNSHARED_REQUESTS_PER_SECOND)
					.withSlow(1));
	}

	private static List<ChoiceScenario> unboundedScenarios(double seconds) {
		return List.of(ChoiceScenario.of("three engines lie", seconds).withMisreporting(3),
				ChoiceScenario.of("half of the prompts have one prefix", seconds)
					.withPrompts(Sharing.HOT, ChoiceScenario.REQUESTS_PER_SECOND * 2),
				ChoiceScenario.of("reports every 250 ms", seconds).withReportInterval(250),
				ChoiceScenario.of("reports every 6 s", seconds).withReportInterval(6_000),
				ChoiceScenario.of("4 entries, 12 upstreams", seconds).withSize(4, 12),
				ChoiceScenario.of("shared prefixes, full load", seconds)
					.withPrompts(Sharing.ORGANISATION, ChoiceScenario.FULL_LOAD_REQUESTS_PER_SECOND));
	}

	static Map<String, ChoiceResult> runAndPrintTable(PrintStream out, ChoiceScenario scenario, int seeds) {
		out.printf(Locale.ROOT, "%n%s: %d entries, %d upstreams, %.0f requests/s%n%n", scenario.name(),
				scenario.entries(), scenario.upstreams(), scenario.requestsPerSecond());
		out.println("| way | mean ms | p50 ms | p95 ms | p99 ms | busy | prefix hits | probes/request |");
		out.println("|---|---|---|---|---|---|---|---|");
		Map<String, ChoiceResult> results = new LinkedHashMap<>();
		for (Strategy strategy : strategies()) {
			ChoiceResult result = runSeeds(scenario, strategy, seeds);
			results.put(strategy.name(), result);
			printRow(out, strategy.name(), result);
		}
		return results;
	}

	private static ChoiceResult runSeeds(ChoiceScenario scenario, Strategy strategy, int seeds) {
		Histogram all = new Histogram(3);
		double busyRatio = 0;
		double hitRatio = 0;
		double probes = 0;
		for (int seed = 1; seed <= seeds; seed++) {
			ChoiceResult result = ChoiceModel.run(scenario, strategy, seed);
			all.add(result.firstTokenMicros());
			busyRatio += result.busyRatio() / seeds;
			hitRatio += result.hitRatio() / seeds;
			probes += result.probesPerRequest() / seeds;
		}
		return new ChoiceResult(all, busyRatio, hitRatio, probes);
	}

	private static void printRow(PrintStream out, String name, ChoiceResult result) {
		out.printf(Locale.ROOT, "| %s | %.0f | %.0f | %.0f | %.0f | %.2f | %.2f | %.1f |%n", name, result.meanMillis(),
				result.p50Millis(), result.p95Millis(), result.p99Millis(), result.busyRatio(), result.hitRatio(),
				result.probesPerRequest());
	}

	/**
	 * Returns whether the home set keeps its bounds: the ratio to least-loaded-of-two,
	 * the target for the 95th percentile, and the smallest distance to the oracle among
	 * all strategies.
	 * @param out receives the figures
	 * @param scenario the scenario that was run
	 * @param results the results by strategy name
	 * @return whether the bounds hold
	 */
	static boolean checkBounds(PrintStream out, ChoiceScenario scenario, Map<String, ChoiceResult> results) {
		double homeSetMillis = results.get(HOME_SET).p95Millis();
		double ratio = homeSetMillis / results.get(LEAST_OF_TWO).p95Millis();
		double oracleMillis = lowestP95Millis(results, true);
		double nextBestMillis = lowestP95Millis(results, false);
		out.printf(Locale.ROOT,
				"%n%s: p95 %.2f of least-of-two (bound %.2f), %.0f ms (bound %.0f), "
						+ "%.2f of all-knowing, next best %.2f%n",
				scenario.name(), ratio, MAX_P95_RATIO, homeSetMillis, MAX_P95_MILLIS, homeSetMillis / oracleMillis,
				nextBestMillis / oracleMillis);
		return ratio <= MAX_P95_RATIO && homeSetMillis <= MAX_P95_MILLIS
				&& Math.abs(homeSetMillis - oracleMillis) <= Math.abs(nextBestMillis - oracleMillis);
	}

	private static double lowestP95Millis(Map<String, ChoiceResult> results, boolean oracle) {
		return results.entrySet()
			.stream()
			.filter((entry) -> !entry.getKey().startsWith("home-set"))
			.filter((entry) -> entry.getKey().startsWith("all-knowing") == oracle)
			.mapToDouble((entry) -> entry.getValue().p95Millis())
			.min()
			.orElseThrow();
	}

	static List<Strategy> strategies() {
		CostModel costs = CostModel.ofDefaults();
		List<Strategy> strategies = new ArrayList<>();
		strategies.add(new Strategy("random", costs, (all) -> Choosers.ofRandom()));
		strategies.add(new Strategy(LEAST_OF_TWO, costs, (all) -> Choosers.ofLeastLoadedOfTwo()));
		strategies.add(new Strategy("least-of-all", costs, (all) -> Choosers.ofLeastLoaded()));
		strategies.add(new Strategy("prefix-affine", costs, (all) -> Choosers.ofPrefixAffine()));
		strategies.add(new Strategy("combined cost", costs, (all) -> Choosers.ofCombinedCost()));
		strategies.add(new Strategy("two fresh probes", costs, (all) -> HomeSetChooser.of(0, 2)));
		strategies.add(new Strategy("home-set 3+1, no probes", costs, (all) -> HomeSetChooser.of(3, 1)::choose));
		strategies.add(new Strategy("home-set 2+2", costs, (all) -> HomeSetChooser.of(2, 2)));
		strategies.add(new Strategy(HOME_SET, costs, (all) -> HomeSetChooser.of(3, 1)));
		strategies.add(new Strategy("home-set 4+0", costs, (all) -> HomeSetChooser.of(4, 0)));
		strategies.add(new Strategy("all-knowing, greedy", costs, (all) -> ofOracle(all, 0)));
		strategies.add(new Strategy("all-knowing, misses weigh 3", costs, (all) -> ofOracle(all, 3)));
		return strategies;
	}

	private static UpstreamChooser ofOracle(List<SimulatedUpstream> upstreams, double missWeight) {
		return (query, table, now, random) -> {
			SimulatedUpstream best = upstreams.get(0);
			double lowest = Double.MAX_VALUE;
			for (SimulatedUpstream upstream : upstreams) {
				double cost = exactCost(upstream, query, missWeight);
				if (cost < lowest) {
					lowest = cost;
					best = upstream;
				}
			}
			return Choice.of(List.of(new Candidate(best.spec.id(), lowest)), ChoiceReason.LOWEST_COST);
		};
	}

	private static double exactCost(SimulatedUpstream upstream, RouteQuery query, double missWeight) {
		Prompt prompt = new Prompt(0, query.prefixDigest(), query.prefixTokens(), query.promptTokens(), () -> {
		});
		double distance = ChoiceModel.DISTANCE.roundTripMillis(query.dataCentre(), upstream.spec.dataCentre());
		return distance + upstream.exactWaitMillis() + (1 + missWeight) * upstream.exactPrefillMillis(prompt);
	}

}
