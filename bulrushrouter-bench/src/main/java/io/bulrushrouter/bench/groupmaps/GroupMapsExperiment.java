package io.bulrushrouter.bench.groupmaps;

import java.io.PrintStream;
import java.util.List;
import java.util.Locale;

import io.bulrushrouter.bench.Experiment;
import io.bulrushrouter.bench.groupmaps.GroupSimulation.Result;

/**
 * Compares expert map rules for groups whose demand shifts every few seconds.
 */
final class GroupMapsExperiment implements Experiment {

	/** The minimum throughput of the policy, relative to the oracle. */
	private static final double MIN_SHARE_OF_ORACLE_THROUGHPUT = 0.9;

	/** The maximum number of copies of the policy, relative to immediate replanning. */
	private static final double MAX_SHARE_OF_REPLANNING_COPIES = 0.2;

	private static final int SEEDS = 3;

	/** Groups of the deployed sizes and of sizes between them. */
	private static final List<GroupParameters> GROUPS = List.of(
			new GroupParameters("12 ranks, 3 sets", 12, 3, 96, 11, 4, 0.4, 1.3, 2, 0.1, 60),
			new GroupParameters("12 ranks, 16 sets", 12, 16, 96, 11, 4, 0.076, 0.94, 2, 0.1, 60),
			new GroupParameters("24 ranks, 3 sets", 24, 3, 96, 5, 2, 0.4, 1.3, 4, 0.1, 60),
			new GroupParameters("24 ranks, 16 sets", 24, 16, 96, 5, 2, 0.076, 0.94, 4, 0.1, 60),
			new GroupParameters("33 ranks, 16 sets", 33, 16, 96, 5, 2, 0.076, 0.94, 6, 0.15, 60),
			new GroupParameters("64 ranks, 256 experts, 12 sets", 64, 12, 256, 5, 2, 0.038, 0.64, 8, 0.33, 60));

	private static final GroupParameters TARGET = new GroupParameters("256 ranks, 256 experts, 16 sets", 256, 16, 256,
			2, 1, 0.076, 0.94, 30, 0.83, 12);

	@Override
	public boolean run(PrintStream out) {
		boolean met = true;
		printHeader(out);
		for (GroupParameters group : GROUPS) {
			met &= meetsTargets(out, group, SEEDS);
		}
		met &= meetsTargets(out, TARGET, 1);
		return met;
	}

	private static void printHeader(PrintStream out) {
		out.println("| group | rule | mean skew | p99 skew | tokens/s | of future | copies | of replanning |");
		out.println("|---|---|---|---|---|---|---|---|");
	}

	/**
	 * Simulates a group under all rules and prints the results.
	 * @param out the stream that the table rows are printed to
	 * @param group the group parameters
	 * @param seeds the number of seeds
	 * @return whether the policy meets the throughput and copy targets
	 */
	static boolean meetsTargets(PrintStream out, GroupParameters group, int seeds) {
		Result initial = GroupSimulation.meanOf(group, MapRule::ofInitialMap, seeds);
		Result replanning = GroupSimulation.meanOf(group, () -> MapRule.ofReplanning(group), seeds);
		Result policy = GroupSimulation.meanOf(group, () -> MapRule.ofPolicy(group), seeds);
		Result oracle = GroupSimulation.meanOf(group,
				() -> MapRule.ofOracle(group, GroupSimulation.SHIFT_INTERVAL_SECONDS), seeds);
		printRow(out, group, "map 0 for ever", initial, oracle, replanning);
		printRow(out, group, "replan at once", replanning, oracle, replanning);
		printRow(out, group, "ours", policy, oracle, replanning);
		printRow(out, group, "knowing the future", oracle, oracle, replanning);
		return policy.tokensPerSecond() >= MIN_SHARE_OF_ORACLE_THROUGHPUT * oracle.tokensPerSecond()
				&& policy.copies() <= MAX_SHARE_OF_REPLANNING_COPIES * replanning.copies();
	}

	private static void printRow(PrintStream out, GroupParameters group, String rule, Result result, Result oracle,
			Result replanning) {
		out.printf(Locale.ROOT, "| %s | %s | %.3f | %.3f | %.0f | %.3f | %d | %.2f |%n", group.name(), rule,
				result.meanSkew(), result.p99Skew(), result.tokensPerSecond(),
				result.tokensPerSecond() / oracle.tokensPerSecond(), result.copies(),
				result.copies() / (double) replanning.copies());
	}

}
