package io.bulrushrouter.bench.platform;

import java.io.PrintStream;
import java.util.List;
import java.util.Map;
import java.util.function.ToDoubleFunction;

import io.bulrushrouter.bench.Experiment;
import io.bulrushrouter.coordination.CallBudget;

/**
 * Counts the calls of each role to the platform at 400 entries and 600 sidecars, on a
 * simulated clock. A waiting watch counts as one read in each second.
 */
public final class PlatformBudgetExperiment implements Experiment {

	/** The platform's writes a second. */
	private static final double WRITES_BOUND = 300;

	/** The platform's reads a second. */
	private static final double READS_BOUND = 2000;

	private static final int RELAYS = 22;

	private static final int DUTIES = 50;

	private static final int SECONDS = 60;

	@Override
	public boolean run(PrintStream out) {
		out.println("| situation | entry r/s, w/s | sidecar r/s, w/s | relay r/s, w/s | duty holder r/s, w/s "
				+ "| peak reads in a second | peak writes in a second | within 2,000 and 300 |");
		out.println("|---|---|---|---|---|---|---|---|");
		BudgetWork rest = BudgetWork.ofRest();
		List<BudgetWork> planned = List.of(rest, rest.morning(), rest.afterOutage(20), rest.afterOutage(300),
				rest.restarting());
		boolean held = printBudgets(out);
		for (BudgetWork work : planned) {
			held &= print(out, work);
		}
		print(out, rest.withoutRelays());
		print(out, rest.afterOutage(300).withoutRelays());
		return held;
	}

	private static boolean printBudgets(PrintStream out) {
		Map<CallBudget, Integer> holders = Map.of(CallBudget.ENTRY, BudgetWork.ENTRIES, CallBudget.SIDECAR,
				BudgetWork.SIDECARS, CallBudget.RELAY, RELAYS, CallBudget.DUTY_HOLDER, DUTIES);
		double reads = sum(holders, CallBudget::readsPerSecond) + RELAYS;
		double writes = sum(holders, CallBudget::writesPerSecond);
		boolean held = reads <= READS_BOUND && writes <= WRITES_BOUND;
		out.println(
				"| budgets spent in full | | | | | %.0f | %.0f | %s |".formatted(reads, writes, held ? "yes" : "no"));
		return held;
	}

	private static double sum(Map<CallBudget, Integer> holders, ToDoubleFunction<CallBudget> rate) {
		return holders.entrySet()
			.stream()
			.mapToDouble((entry) -> entry.getValue() * rate.applyAsDouble(entry.getKey()))
			.sum();
	}

	private static boolean print(PrintStream out, BudgetWork work) {
		BudgetMeter meter = new BudgetFleet(work).run(SECONDS);
		StringBuilder row = new StringBuilder("| " + work.name());
		for (BudgetRole role : BudgetRole.values()) {
			row.append(" | %.1f, %.1f".formatted(meter.meanReads(role), meter.meanWrites(role)));
		}
		boolean held = meter.peakReads() <= READS_BOUND && meter.peakWrites() <= WRITES_BOUND;
		row.append(" | %.0f | %.0f | %s |".formatted(meter.peakReads(), meter.peakWrites(), held ? "yes" : "no"));
		out.println(row);
		return held;
	}

}
