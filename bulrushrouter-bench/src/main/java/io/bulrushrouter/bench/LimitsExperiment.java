package io.bulrushrouter.bench;

import java.io.PrintStream;
import java.util.List;
import java.util.Locale;

import io.bulrushrouter.bench.LimitsModel.Demand;
import io.bulrushrouter.bench.LimitsModel.Fault;
import io.bulrushrouter.bench.LimitsModel.Result;

/**
 * How far a limit is exceeded over 400 entries, and whether demand within it is refused.
 */
final class LimitsExperiment implements Experiment {

	/** Largest use of a limit in a minute. */
	private static final double LARGEST_USE = 1.05;

	/** Demand up to this part of a limit is not refused while its holders live. */
	private static final double HONEST = 0.8;

	private static final int WINDOW_SECONDS = 60;

	@Override
	public boolean run(PrintStream out) {
		return holds(out, 600, ChoiceScenario.ENTRIES);
	}

	/**
	 * Tells whether the bounds hold.
	 * @param out takes the figures
	 * @param seconds simulated time
	 * @param entries how many entries there are
	 * @return whether they hold
	 */
	static boolean holds(PrintStream out, double seconds, int entries) {
		out.println("| demand | load of limit | most used in 60 s | bound | refused | asks/request |");
		out.println("|---|---|---|---|---|---|");
		boolean held = true;
		for (Demand demand : demands(seconds, entries)) {
			Result result = LimitsModel.run(demand, 1);
			double most = result.largestOverLimit(WINDOW_SECONDS);
			double refused = result.refused() / (double) result.requests();
			out.printf(Locale.ROOT, "| %s | %.1f | %.3f | %.2f | %.4f | %.2f |%n", demand.name(), demand.load(), most,
					LARGEST_USE, refused, result.asks() / (double) result.requests());
			held &= most <= LARGEST_USE && (result.refused() == 0 || !isHonest(demand));
		}
		return held;
	}

	private static boolean isHonest(Demand demand) {
		return demand.load() <= HONEST && demand.fault() != Fault.HOLDER;
	}

	private static List<Demand> demands(double seconds, int entries) {
		return List.of(new Demand("even", entries, 0.5, 0, seconds, Fault.NONE),
				new Demand("even", entries, HONEST, 0, seconds, Fault.NONE),
				new Demand("even, an entry dies", entries, HONEST, 0, seconds, Fault.ENTRY),
				new Demand("even, a holder dies", entries, 0.4, 0, seconds, Fault.HOLDER),
				new Demand("even, a holder dies", entries, HONEST, 0, seconds, Fault.HOLDER),
				new Demand("at three entries", entries, HONEST, 1, seconds, Fault.NONE),
				new Demand("at three entries, one dies", entries, HONEST, 1, seconds, Fault.ENTRY),
				new Demand("even", entries, 5, 0, seconds, Fault.NONE),
				new Demand("even, a holder dies", entries, 20, 0, seconds, Fault.HOLDER),
				new Demand("at three entries, one dies", entries, 20, 1, seconds, Fault.ENTRY));
	}

}
