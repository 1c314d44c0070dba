package io.bulrushrouter.bench.capacity;

import java.io.PrintStream;
import java.util.List;

import io.bulrushrouter.bench.Experiment;

/**
 * Prints the slopes that {@code docs/CAPACITY.md} is based on, and their values at the
 * target size with the users' limits. An exceeded limit is printed as not met, and the
 * run then fails.
 */
final class CapacityExperiment implements Experiment {

	@Override
	public boolean run(PrintStream out) {
		CountedSlopes counted = CountedSlopes.of(CountedSlopes.Sizes.ofTarget());
		print(out, "Counted: the same in each run", counted.fits());
		List<Budget> budgets = Budget.of(counted);
		out.printf("%n## At the target size%n%n%s%n", Budget.TABLE_HEADER);
		budgets.forEach((budget) -> out.println(budget.row()));
		print(out, "Timed: medians of 7 counted loops, processor time of the thread", TimedSlopes.measureAll());
		return budgets.stream().allMatch(Budget::isWithinLimit);
	}

	private static void print(PrintStream out, String title, List<LinearFit> fits) {
		out.printf("%n## %s%n%n%s%n", title, LinearFit.TABLE_HEADER);
		fits.forEach((fit) -> out.println(fit.row()));
	}

}
