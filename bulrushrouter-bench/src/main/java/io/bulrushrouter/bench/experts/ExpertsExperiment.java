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
 * A day of drifting popularity for groups of 8, 64 and 256 ranks under every planner and
 * profile, with one straggler for an hour: skew and bytes moved, as a table and a plot.
 * The system properties {@code experts.layers} and {@code experts.plot} set the number of
 * layers and the file of the plot.
 */
public final class ExpertsExperiment implements Experiment {

	private static final int LAYERS = 58;

	private static final int EXPERTS = 256;

	private static final int THREADS = 6;

	private static final long SEED = 1;

	private static final Aim ASH = new Aim(1.05, 1.15, 1.0 / 5);

	private static final Aim KITCHEN = new Aim(1.25, Double.POSITIVE_INFINITY, 1.0 / 20);

	private static final double TERABYTE = 1e12;

	@Override
	public boolean run(PrintStream out) {
		int layers = Integer.getInteger("experts.layers", LAYERS);
		List<GroupShape> shapes = List.of(GroupShape.of(layers, EXPERTS, 8, 34), GroupShape.of(layers, EXPERTS, 64, 5),
				GroupShape.of(layers, EXPERTS, 256, 2));
		Map<Case, Future<ExpertRun>> runs = start(shapes);
		out.printf("One day, %d layers, %d experts, seed %d%n%n", layers, EXPERTS, SEED);
		out.println("| ranks | slots | profile | planner | skew median | skew p99 | bound p99 | TB moved "
				+ "| of anew | TB unattended | short of emergency | switches | mean plan s |");
		out.println("|---|---|---|---|---|---|---|---|---|---|---|---|---|");
		SkewPlot plot = SkewPlot.of();
		boolean held = true;
		for (GroupShape shape : shapes) {
			for (PlanProfile profile : profiles()) {
				held &= print(out, shape, profile, runs, plot);
			}
		}
		write(plot);
		out.println();
		return PlanCost.print(out) & held;
	}

	private static Map<Case, Future<ExpertRun>> start(List<GroupShape> shapes) {
		ExecutorService threads = Executors.newFixedThreadPool(THREADS);
		Map<Case, Future<ExpertRun>> runs = new LinkedHashMap<>();
		for (GroupShape shape : largestFirst(shapes)) {
			for (PlanProfile profile : profiles()) {
				planners().forEach((name, planner) -> runs.put(new Case(shape, profile, name),
						threads.submit(() -> new ExpertRun(shape, planner, profile, SEED).run())));
			}
		}
		threads.shutdown();
		return runs;
	}

	private static List<GroupShape> largestFirst(List<GroupShape> shapes) {
		return shapes.stream().sorted(Comparator.comparingInt(GroupShape::ranks).reversed()).toList();
	}

	private static boolean print(PrintStream out, GroupShape shape, PlanProfile profile,
			Map<Case, Future<ExpertRun>> runs, SkewPlot plot) {
		List<double[]> lines = new ArrayList<>();
		ExpertRun anew = result(runs.get(new Case(shape, profile, "anew")));
		for (String planner : planners().keySet()) {
			ExpertRun run = result(runs.get(new Case(shape, profile, planner)));
			lines.add(run.skews());
			out.printf(Locale.ROOT,
					"| %d | %d | %s | %s | %.3f | %.3f | %.3f | %.2f | %.3f | %.2f | %.2f | %d | %.3f |%n",
					shape.ranks(), shape.slots(), profile.name(), planner, run.skew(0.5), run.skew(0.99),
					run.bound(0.99), run.bytes() / TERABYTE, run.bytes() / (double) anew.bytes(),
					run.unattendedBytes() / TERABYTE, run.quietBytes() / TERABYTE, run.switches(),
					run.meanPlanSeconds());
		}
		plot.panel(shape.ranks() + " ranks, " + profile.name() + ": greatest skew in 5 minutes",
				List.copyOf(planners().keySet()), lines);
		return holds(out, shape, profile, result(runs.get(new Case(shape, profile, "fitted"))), anew);
	}

	private static boolean holds(PrintStream out, GroupShape shape, PlanProfile profile, ExpertRun run,
			ExpertRun anew) {
		Aim aim = profile.movesUnattended() ? ASH : KITCHEN;
		boolean skew = run.skew(0.5) <= aim.median() && run.skew(0.99) <= aim.tail();
		boolean bytes = run.bytes() <= aim.bytes() * anew.bytes();
		boolean quiet = profile.movesUnattended() || run.quietBytes() == 0;
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

	private static ExpertRun result(Future<ExpertRun> run) {
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
	 * One row of the table.
	 *
	 * @param shape the sizes
	 * @param profile the profile
	 * @param planner the name of the planner
	 */
	private record Case(GroupShape shape, PlanProfile profile, String planner) {
	}

	/**
	 * What a profile is to reach.
	 *
	 * @param median the greatest skew at the median
	 * @param tail the greatest skew at the 99th percentile
	 * @param bytes the greatest part of the bytes of balancing anew
	 */
	private record Aim(double median, double tail, double bytes) {
	}

}
