package io.bulrushrouter.bench.groupmaps;

import java.io.PrintStream;
import java.util.List;
import java.util.Locale;

import io.bulrushrouter.bench.Experiment;
import io.bulrushrouter.bench.groupmaps.GroupPlay.Result;

/**
 * Compares rules for the maps of groups whose demand turns each few seconds.
 */
final class GroupMapsExperiment implements Experiment {

	/** The part of the tokens a second of knowing the future that is aimed at. */
	private static final double LEAST_OF_FUTURE = 0.9;

	/** The part of the copies of replanning at once that is aimed at. */
	private static final double MOST_OF_REPLANNING = 0.2;

	private static final int SEEDS = 3;

	/** Groups as deployed, in between, and at the size aimed at. */
	private static final List<GroupFigures> GROUPS = List.of(
			new GroupFigures("12 ranks, 3 sets", 12, 3, 96, 11, 4, 0.4, 1.3, 60),
			new GroupFigures("12 ranks, 16 sets", 12, 16, 96, 11, 4, 0.076, 0.94, 60),
			new GroupFigures("24 ranks, 3 sets", 24, 3, 96, 5, 2, 0.4, 1.3, 60),
			new GroupFigures("24 ranks, 16 sets", 24, 16, 96, 5, 2, 0.076, 0.94, 60));

	private static final GroupFigures TARGET = new GroupFigures("256 ranks, 256 experts, 16 sets", 256, 16, 256, 2, 1,
			0.076, 0.94, 12);

	@Override
	public boolean run(PrintStream out) {
		boolean held = true;
		head(out);
		for (GroupFigures group : GROUPS) {
			held &= holds(out, group, SEEDS);
		}
		held &= holds(out, TARGET, 1);
		return held;
	}

	private static void head(PrintStream out) {
		out.println("| group | rule | mean skew | p99 skew | tokens/s | of future | copies | of replanning |");
		out.println("|---|---|---|---|---|---|---|---|");
	}

	/**
	 * Plays a group under all rules.
	 * @param out takes the lines of the table
	 * @param group the group
	 * @param seeds how many seeds
	 * @return whether the aims hold
	 */
	static boolean holds(PrintStream out, GroupFigures group, int seeds) {
		Result first = GroupPlay.meanOf(group, MapRule::ofFirstMap, seeds);
		Result replanning = GroupPlay.meanOf(group, () -> MapRule.ofReplanning(group), seeds);
		Result ours = GroupPlay.meanOf(group, () -> MapRule.ofPolicy(group), seeds);
		Result future = GroupPlay.meanOf(group, () -> MapRule.ofFuture(group, GroupPlay.SECONDS_OF_TURN), seeds);
		line(out, group, "map 0 for ever", first, future, replanning);
		line(out, group, "replan at once", replanning, future, replanning);
		line(out, group, "ours", ours, future, replanning);
		line(out, group, "knowing the future", future, future, replanning);
		return ours.tokensASecond() >= LEAST_OF_FUTURE * future.tokensASecond()
				&& ours.copies() <= MOST_OF_REPLANNING * replanning.copies();
	}

	private static void line(PrintStream out, GroupFigures group, String rule, Result result, Result future,
			Result replanning) {
		out.printf(Locale.ROOT, "| %s | %s | %.3f | %.3f | %.0f | %.3f | %d | %.2f |%n", group.name(), rule,
				result.meanSkew(), result.ninetyNinthSkew(), result.tokensASecond(),
				result.tokensASecond() / future.tokensASecond(), result.copies(),
				result.copies() / (double) replanning.copies());
	}

}
