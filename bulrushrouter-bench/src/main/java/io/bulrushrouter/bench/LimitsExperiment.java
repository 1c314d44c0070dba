package io.bulrushrouter.bench;

import java.io.PrintStream;
import java.util.List;
import java.util.Locale;

import io.bulrushrouter.bench.LimitsModel.Demand;
import io.bulrushrouter.bench.LimitsModel.Fault;
import io.bulrushrouter.bench.LimitsModel.Result;

/**
 * Measures how far a limit that is shared by 400 entries is exceeded, and whether demand
 * within the limit is refused.
 */
final class LimitsExperiment implements Experiment {

	/** Maximum use in any minute, relative to the limit. */
	private static final double MAX_USE_RATIO = 1.05;

	/**
	 * Demand up to this fraction of a limit is never refused while its quota allocators
	 * are alive.
	 */
	private static final double GUARANTEED_LOAD = 0.8;

	private static final int WINDOW_SECONDS = 60;

	@Override
	public boolean run(PrintStream out) {
		return checkBounds(out, 600, ChoiceScenario.ENTRIES);
	}

	/**
	 * Runs the model, prints its figures and returns whether the bounds hold.
	 * @param out receives the figures
	 * @param seconds the simulated time, in seconds
	 * @param entries the number of entries
	 * @return whether the bounds hold
	 */
	static boolean checkBounds(PrintStream out, double seconds, int entries) {
		out.println("| demand | load of limit | most used in 60 s | bound | refused | asks/request |");
		out.println("|---|---|---|---|---|---|");
		boolean withinBounds = true;
		for (Demand demand : demands(seconds, entries)) {
			Result result = LimitsModel.run(demand, 1);
			double maxUseRatio = result.maxUseRatio(WINDOW_SECONDS);
			double refusedShare = result.refused() / (double) result.requests();
			out.printf(Locale.ROOT, "| %s | %.1f | %.3f | %.2f | %.4f | %.2f |%n", demand.name(), demand.load(),
					maxUseRatio, MAX_USE_RATIO, refusedShare, result.quotaRequests() / (double) result.requests());
			withinBounds &= maxUseRatio <= MAX_USE_RATIO && (result.refused() == 0 || !isGuaranteed(demand));
		}
		return withinBounds;
	}

	private static boolean isGuaranteed(Demand demand) {
		return demand.load() <= GUARANTEED_LOAD && demand.fault() != Fault.ALLOCATOR;
	}

	private static List<Demand> demands(double seconds, int entries) {
		return List.of(new Demand("even", entries, 0.5, 0, seconds, Fault.NONE),
				new Demand("even", entries, GUARANTEED_LOAD, 0, seconds, Fault.NONE),
				new Demand("even, an entry dies", entries, GUARANTEED_LOAD, 0, seconds, Fault.ENTRY),
				new Demand("even, a holder dies", entries, 0.4, 0, seconds, Fault.ALLOCATOR),
				new Demand("even, a holder dies", entries, GUARANTEED_LOAD, 0, seconds, Fault.ALLOCATOR),
				new Demand("at three entries", entries, GUARANTEED_LOAD, 1, seconds, Fault.NONE),
				new Demand("at three entries, one dies", entries, GUARANTEED_LOAD, 1, seconds, Fault.ENTRY),
				new Demand("even", entries, 5, 0, seconds, Fault.NONE),
				new Demand("even, a holder dies", entries, 20, 0, seconds, Fault.ALLOCATOR),
				new Demand("at three entries, one dies", entries, 20, 1, seconds, Fault.ENTRY));
	}

}
