package io.bulrushrouter.bench.experts;

import java.io.IOException;
import java.io.PrintStream;
import java.io.UncheckedIOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.concurrent.ExecutionException;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.Future;

import io.bulrushrouter.bench.Experiment;
import io.bulrushrouter.experts.GroupShape;
import io.bulrushrouter.experts.planning.ExpertPlanner;
import io.bulrushrouter.experts.planning.ExpertPlanners;
import io.bulrushrouter.experts.planning.PlanProfile;

/**
 * Compares skew and bytes moved of every planner and profile in groups of 8, 64 and 256
 * ranks over a day of drifting popularity, with one straggler for an hour. Prints a table
 * and can write a plot. The system properties {@code experts.layers} and
 * {@code experts.plot} set the number of layers and the file of the plot.
 */
public final class ExpertsExperiment implements Experiment {

	private static final int LAYERS = 58;

	private static final int EXPERTS = 256;

	private static final int THREADS = 6;

	private static final long SEED = 1;

	private static final Target LOW_SKEW_TARGET = new Target(1.05, 1.15, 1.0 / 5);

	private static final Target LOW_COST_TARGET = new Target(1.25, Double.POSITIVE_INFINITY, 1.0 / 20);

	private static final double BYTES_PER_TERABYTE = 1e12;

	@Override
	public boolean run(PrintStream out) {
		int layers = Integer.getInteger("experts.layers", LAYERS);
		List<GroupShape> shapes = List.of(GroupShape.of(layers, EXPERTS, 8, 34), GroupShape.of(layers, EXPERTS, 64, 5),
				GroupShape.of(layers, EXPERTS, 256, 2));
		Map<RunKey, Future<PlannerRun>> runs = start(shapes);
		out.printf("One day, %d layers, %d experts, seed %d%n%n", layers, EXPERTS, SEED);
		out.println("| ranks | slots | profile | planner | skew median | skew p99 | bound p99 | TB moved "
				+ "| of anew | TB unattended | short of emergency | switches | mean plan s |");
		out.println("|---|---|---|---|---|---|---|---|---|---|---|---|---|");
		SkewPlot plot = SkewPlot.of();
		boolean met = true;
		for (GroupShape shape : shapes) {
			for (PlanProfile profile : profiles()) {
				met &= printRows(out, shape, profile, runs, plot);
			}
		}
		write(plot);
		out.println();
		return PlanCost.print(out) & met;
	}

	private static Map<RunKey, Future<PlannerRun>> start(List<GroupShape> shapes) {
		ExecutorService threads = Executors.newFixedThreadPool(THREADS);
		Map<RunKey, Future<PlannerRun>> runs = new LinkedHashMap<>();
		for (GroupShape shape : largestFirst(shapes)) {
			for (PlanProfile profile : profiles()) {
				planners().forEach((name, planner) -> runs.put(new RunKey(shape, profile, name),
						threads.submit(() -> new PlannerRun(shape, planner, profile, SEED).run())));
			}
		}
		threads.shutdown();
		return runs;
	}

	private static List<GroupShape> largestFirst(List<GroupShape> shapes) {
		return shapes.stream().sorted(Comparator.comparingInt(GroupShape::ranks).reversed()).toList();
	}

	private static boolean printRows(PrintStream out, GroupShape shape, PlanProfile profile,
			Map<RunKey, Future<PlannerRun>> runs, SkewPlot plot) {
		List<double[]> lines = new ArrayList<>();
		PlannerRun fromScratch = result(runs.get(new RunKey(shape, profile, "anew")));
		for (String planner : planners().keySet()) {
			PlannerRun run = result(runs.get(new RunKey(shape, profile, planner)));
			lines.add(run.skews());
			out.printf(Locale.ROOT,
					"| %d | %d | %s | %s | %.3f | %.3f | %.3f | %.2f | %.3f | %.2f | %.2f | %d | %.3f |%n",
					shape.ranks(), shape.slots(), profile.name(), planner, run.skew(0.5), run.skew(0.99),
					run.lowerBound(0.99), run.bytes() / BYTES_PER_TERABYTE, run.bytes() / (double) fromScratch.bytes(),
					run.unattendedBytes() / BYTES_PER_TERABYTE, run.unattendedNonEmergencyBytes() / BYTES_PER_TERABYTE,
					run.switches(), run.meanPlanSeconds());
		}
		plot.panel(shape.ranks() + " ranks, " + profile.name() + ": greatest skew in 5 minutes",
				List.copyOf(planners().keySet()), lines);
		return meetsTarget(out, shape, profile, result(runs.get(new RunKey(shape, profile, "fitted"))), fromScratch);
	}

	private static boolean meetsTarget(PrintStream out, GroupShape shape, PlanProfile profile, PlannerRun run,
			PlannerRun fromScratch) {
		Target target = profile.movesUnattended() ? LOW_SKEW_TARGET : LOW_COST_TARGET;
		boolean skew = run.skew(0.5) <= target.maxMedianSkew() && run.skew(0.99) <= target.maxP99Skew();
		boolean bytes = run.bytes() <= target.maxByteShare() * fromScratch.bytes();
		boolean quiet = profile.movesUnattended() || run.unattendedNonEmergencyBytes() == 0;
		if (skew && bytes && quiet) {
			return true;
		}
		out.printf("missed: %d ranks, %s: skew %b, bytes %b, quiet hours %b%n", shape.ranks(), profile.name(), skew,
				bytes, quiet);
		return false;
	}

	private static List<PlanProfile> profiles() {
		return List.of(PlanProfile.ofLowSkew(), PlanProfile.ofLowCost());
	}

	private static Map<String, ExpertPlanner> planners() {
		Map<String, ExpertPlanner> planners = new LinkedHashMap<>();
		planners.put("static", ExpertPlanners.ofStatic());
		planners.put("anew", ExpertPlanners.ofRebuild());
		planners.put("greedy", ExpertPlanners.ofGreedy());
		planners.put("fitted", ExpertPlanners.ofFitted());
		return planners;
	}

	private static PlannerRun result(Future<PlannerRun> run) {
		try {
			return run.get();
		}
		catch (InterruptedException | ExecutionException ex) {
			throw new IllegalStateException(ex);
		}
	}

	private static void write(SkewPlot plot) {
		String file = System.getProperty("experts.plot");
		if (file == null) {
			return;
		}
		try {
			Files.writeString(Path.of(file), plot.svg());
		}
		catch (IOException ex) {
			throw new UncheckedIOException(ex);
		}
	}

	/**
	 * Identifies a run, which is one row of the table.
	 *
	 * @param shape the group shape
	 * @param profile the plan profile
	 * @param planner the name of the planner
	 */
	private record RunKey(GroupShape shape, PlanProfile profile, String planner) {
	}

	/**
	 * The targets of a profile.
	 *
	 * @param maxMedianSkew the maximum median skew
	 * @param maxP99Skew the maximum 99th percentile of the skew
	 * @param maxByteShare the maximum bytes moved, relative to planning from scratch
	 */
	private record Target(double maxMedianSkew, double maxP99Skew, double maxByteShare) {
	}

}
