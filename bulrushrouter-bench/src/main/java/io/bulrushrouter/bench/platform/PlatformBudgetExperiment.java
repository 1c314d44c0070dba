package io.bulrushrouter.bench.platform;

import java.io.PrintStream;
import java.util.List;
import java.util.Map;
import java.util.function.ToDoubleFunction;

import io.bulrushrouter.bench.Experiment;
import io.bulrushrouter.coordination.CallBudget;

/**
 * Counts the calls of each role to the platform with 400 entries and 600 sidecars, on a
 * simulated clock. A pending watch counts as one read in each second that it waits.
 */
public final class PlatformBudgetExperiment implements Experiment {

	/** Writes per second that the platform sustains. */
	private static final double MAX_WRITES_PER_SECOND = 300;

	/** Reads per second that the platform sustains. */
	private static final double MAX_READS_PER_SECOND = 2000;

	private static final int RELAYS = 22;

	private static final int DUTIES = 50;

	private static final int DURATION_SECONDS = 60;

	@Override
	public boolean run(PrintStream out) {
		out.println("| situation | entry r/s, w/s | sidecar r/s, w/s | relay r/s, w/s | duty holder r/s, w/s "
				+ "| peak reads in a second | peak writes in a second | within 2,000 and 300 |");
		out.println("|---|---|---|---|---|---|---|---|");
		BudgetScenario idle = BudgetScenario.ofIdle();
		List<BudgetScenario> planned = List.of(idle, idle.morning(), idle.afterOutage(20), idle.afterOutage(300),
				idle.restarting());
		boolean withinBounds = printBudgets(out);
		for (BudgetScenario scenario : planned) {
			withinBounds &= runAndPrint(out, scenario);
		}
		runAndPrint(out, idle.withoutRelays());
		runAndPrint(out, idle.afterOutage(300).withoutRelays());
		return withinBounds;
	}

	private static boolean printBudgets(PrintStream out) {
		Map<CallBudget, Integer> processCounts = Map.of(CallBudget.ENTRY, BudgetScenario.ENTRIES, CallBudget.SIDECAR,
				BudgetScenario.SIDECARS, CallBudget.RELAY, RELAYS, CallBudget.DUTY_HOLDER, DUTIES);
		double reads = totalRate(processCounts, CallBudget::readsPerSecond) + RELAYS;
		double writes = totalRate(processCounts, CallBudget::writesPerSecond);
		boolean withinBounds = reads <= MAX_READS_PER_SECOND && writes <= MAX_WRITES_PER_SECOND;
		out.println("| budgets spent in full | | | | | %.0f | %.0f | %s |".formatted(reads, writes,
				withinBounds ? "yes" : "no"));
		return withinBounds;
	}

	private static double totalRate(Map<CallBudget, Integer> processCounts, ToDoubleFunction<CallBudget> rate) {
		return processCounts.entrySet()
			.stream()
			.mapToDouble((entry) -> entry.getValue() * rate.applyAsDouble(entry.getKey()))
			.sum();
	}

	private static boolean runAndPrint(PrintStream out, BudgetScenario scenario) {
		BudgetMeter meter = new BudgetFleet(scenario).run(DURATION_SECONDS);
		StringBuilder row = new StringBuilder("| " + scenario.name());
		for (BudgetRole role : BudgetRole.values()) {
			row.append(" | %.1f, %.1f".formatted(meter.meanReads(role), meter.meanWrites(role)));
		}
		boolean withinBounds = meter.peakReads() <= MAX_READS_PER_SECOND && meter.peakWrites() <= MAX_WRITES_PER_SECOND;
		row.append(
				" | %.0f | %.0f | %s |".formatted(meter.peakReads(), meter.peakWrites(), withinBounds ? "yes" : "no"));
		out.println(row);
		return withinBounds;
	}

}
