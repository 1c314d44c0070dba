package io.bulrushrouter.bench.request;

import java.io.PrintStream;
import java.util.List;
import java.util.Locale;

import org.HdrHistogram.Histogram;

import io.bulrushrouter.bench.Experiment;
import io.bulrushrouter.request.EntryPolicy;
import io.bulrushrouter.request.RetryBudget;

/**
 * Load and recovery when half of the upstreams fail for 15 s, with and without the retry
 * budget.
 */
final class RetriesExperiment implements Experiment {

	/** The most load sent over load asked. */
	private static final double MAX_LOAD_RATIO = 1.2;

	/** The shortest time over which that ratio has to hold, in seconds. */
	private static final int WINDOW_SECONDS = 10;

	/** The longest time from the fault's end to normal service, in seconds. */
	private static final int MAX_RECOVERY_SECONDS = 10;

	/** The share of requests answered in normal service. */
	private static final double NORMAL_SHARE = 0.99;

	/** The 95th percentile in normal service over that before the fault. */
	private static final double NORMAL_LATENCY_RATIO = 1.5;

	private static final long SEED = 1;

	@Override
	public boolean run(PrintStream out) {
		out.println("| fault | retries | load sent / asked | worst 10 s | worst 1 s | answered | recovery s |");
		out.println("|---|---|---|---|---|---|---|");
		boolean held = true;
		for (FailureMode mode : List.of(FailureMode.REFUSING, FailureMode.FAILING, FailureMode.STALLED)) {
			report(out, mode, "unbounded", EntryPolicy.builder().maxAttempts(12).build(), 100);
			Result result = report(out, mode, "budget", EntryPolicy.ofDefaults(), RetryBudget.DEFAULT_RATIO);
			held &= result.loadRatio() <= MAX_LOAD_RATIO && result.windowRatio() <= MAX_LOAD_RATIO
					&& result.recoverySeconds() <= MAX_RECOVERY_SECONDS;
		}
		out.println();
		out.println("Bounds " + (held ? "hold" : "are missed") + ": load " + MAX_LOAD_RATIO + ", recovery "
				+ MAX_RECOVERY_SECONDS + " s.");
		return held;
	}

	private static Result report(PrintStream out, FailureMode mode, String name, EntryPolicy policy, double ratio) {
		FailingFleet fleet = new FailingFleet(mode, policy, ratio, SEED);
		fleet.run();
		Result result = Result.of(fleet.seconds);
		out.println(String.format(Locale.ROOT, "| %s | %s | %.3f | %.3f | %.3f | %.3f | %d |",
				mode.name().toLowerCase(Locale.ROOT), name, result.loadRatio(), result.windowRatio(),
				result.secondRatio(), result.answeredShare(), result.recoverySeconds()));
		return result;
	}

	/**
	 * What one run showed.
	 *
	 * @param loadRatio attempts sent over requests asked, during the fault
	 * @param windowRatio the highest such ratio of any 10 s since the fault's start
	 * @param secondRatio the highest such ratio of any second since the fault's start
	 * @param answeredShare the share of requests answered, during the fault
	 * @param recoverySeconds the time from the fault's end to normal service
	 */
	record Result(double loadRatio, double windowRatio, double secondRatio, double answeredShare, int recoverySeconds) {

		static Result of(List<FailingFleet.Second> seconds) {
			List<FailingFleet.Second> fault = seconds.subList(FailingFleet.FAULT_FROM, FailingFleet.FAULT_UNTIL);
			double asked = fault.stream().mapToInt((second) -> second.asked).sum();
			double sent = fault.stream().mapToInt((second) -> second.sent).sum();
			double answered = fault.stream().mapToInt((second) -> second.answered).sum();
			return new Result(sent / asked, worst(seconds, WINDOW_SECONDS), worst(seconds, 1), answered / asked,
					recovery(seconds));
		}

		private static double worst(List<FailingFleet.Second> seconds, int length) {
			double worst = 0;
			for (int i = FailingFleet.FAULT_FROM - length + 1; i + length <= seconds.size(); i++) {
				List<FailingFleet.Second> window = seconds.subList(i, i + length);
				double asked = window.stream().mapToInt((second) -> second.asked).sum();
				double sent = window.stream().mapToInt((second) -> second.sent).sum();
				worst = Math.max(worst, sent / asked);
			}
			return worst;
		}

		private static int recovery(List<FailingFleet.Second> seconds) {
			Histogram before = new Histogram(3);
			seconds.subList(3, FailingFleet.FAULT_FROM).forEach((second) -> before.add(second.latencyMicros));
			double limit = NORMAL_LATENCY_RATIO * before.getValueAtPercentile(95);
			int last = FailingFleet.FAULT_UNTIL;
			for (int i = FailingFleet.FAULT_UNTIL; i < seconds.size(); i++) {
				FailingFleet.Second second = seconds.get(i);
				boolean normal = second.answered >= NORMAL_SHARE * second.asked
						&& second.latencyMicros.getValueAtPercentile(95) <= limit;
				last = normal ? last : i + 1;
			}
			return last - FailingFleet.FAULT_UNTIL;
		}

	}

}
