package io.bulrushrouter.bench.request;

import java.io.PrintStream;
import java.util.List;
import java.util.Locale;

import org.HdrHistogram.Histogram;

import io.bulrushrouter.bench.Experiment;
import io.bulrushrouter.request.EntryPolicy;
import io.bulrushrouter.request.RetryBudget;

/**
 * Measures load amplification and recovery time when half of the upstreams fail for 15 s,
 * with and without the retry budget.
 */
final class RetriesExperiment implements Experiment {

	/** Maximum ratio of attempts sent to requests received. */
	private static final double MAX_LOAD_RATIO = 1.2;

	/** Length of the shortest window in which that ratio must hold, in seconds. */
	private static final int WINDOW_SECONDS = 10;

	/** Maximum time from the end of the fault to normal service, in seconds. */
	private static final int MAX_RECOVERY_SECONDS = 10;

	/** Minimum share of requests answered in normal service. */
	private static final double MIN_ANSWERED_SHARE = 0.99;

	/**
	 * Maximum ratio of the 95th percentile of latency in normal service to that before
	 * the fault.
	 */
	private static final double MAX_LATENCY_RATIO = 1.5;

	private static final long SEED = 1;

	@Override
	public boolean run(PrintStream out) {
		out.println("| fault | retries | load sent / asked | worst 10 s | worst 1 s | answered | recovery s |");
		out.println("|---|---|---|---|---|---|---|");
		boolean withinBounds = true;
		for (FailureMode mode : List.of(FailureMode.REFUSING, FailureMode.FAILING, FailureMode.STALLED)) {
			runAndPrint(out, mode, "unbounded", EntryPolicy.builder().maxAttempts(12).build(), 100);
			Result result = runAndPrint(out, mode, "budget", EntryPolicy.ofDefaults(), RetryBudget.DEFAULT_RATIO);
			withinBounds &= result.loadRatio() <= MAX_LOAD_RATIO && result.maxWindowRatio() <= MAX_LOAD_RATIO
					&& result.recoverySeconds() <= MAX_RECOVERY_SECONDS;
		}
		out.println();
		out.println("Bounds " + (withinBounds ? "hold" : "are missed") + ": load " + MAX_LOAD_RATIO + ", recovery "
				+ MAX_RECOVERY_SECONDS + " s.");
		return withinBounds;
	}

	private static Result runAndPrint(PrintStream out, FailureMode mode, String name, EntryPolicy policy,
			double ratio) {
		FailingFleet fleet = new FailingFleet(mode, policy, ratio, SEED);
		fleet.run();
		Result result = Result.of(fleet.seconds);
		out.println(String.format(Locale.ROOT, "| %s | %s | %.3f | %.3f | %.3f | %.3f | %d |",
				mode.name().toLowerCase(Locale.ROOT), name, result.loadRatio(), result.maxWindowRatio(),
				result.maxSecondRatio(), result.answeredShare(), result.recoverySeconds()));
		return result;
	}

	/**
	 * The figures of one run.
	 *
	 * @param loadRatio the ratio of attempts to requests during the fault
	 * @param maxWindowRatio the highest such ratio in any 10 s that include or follow the
	 * fault's start
	 * @param maxSecondRatio the highest such ratio in any second since the fault's start
	 * @param answeredShare the share of requests during the fault that were answered
	 * @param recoverySeconds the time from the fault's end to normal service, in seconds
	 */
	record Result(double loadRatio, double maxWindowRatio, double maxSecondRatio, double answeredShare,
			int recoverySeconds) {

		static Result of(List<FailingFleet.SecondStats> seconds) {
			List<FailingFleet.SecondStats> duringFault = seconds.subList(FailingFleet.FAULT_START_SECOND,
					FailingFleet.FAULT_END_SECOND);
			double requests = duringFault.stream().mapToInt((second) -> second.requests).sum();
			double attempts = duringFault.stream().mapToInt((second) -> second.attempts).sum();
			double answered = duringFault.stream().mapToInt((second) -> second.answered).sum();
			return new Result(attempts / requests, maxLoadRatio(seconds, WINDOW_SECONDS), maxLoadRatio(seconds, 1),
					answered / requests, secondsToRecover(seconds));
		}

		private static double maxLoadRatio(List<FailingFleet.SecondStats> seconds, int length) {
			double max = 0;
			for (int i = FailingFleet.FAULT_START_SECOND - length + 1; i + length <= seconds.size(); i++) {
				List<FailingFleet.SecondStats> window = seconds.subList(i, i + length);
				double requests = window.stream().mapToInt((second) -> second.requests).sum();
				double attempts = window.stream().mapToInt((second) -> second.attempts).sum();
				max = Math.max(max, attempts / requests);
			}
			return max;
		}

		private static int secondsToRecover(List<FailingFleet.SecondStats> seconds) {
			Histogram before = new Histogram(3);
			seconds.subList(3, FailingFleet.FAULT_START_SECOND).forEach((second) -> before.add(second.latencyMicros));
			double maxLatencyMicros = MAX_LATENCY_RATIO * before.getValueAtPercentile(95);
			int recoveredSecond = FailingFleet.FAULT_END_SECOND;
			for (int i = FailingFleet.FAULT_END_SECOND; i < seconds.size(); i++) {
				FailingFleet.SecondStats second = seconds.get(i);
				boolean normal = second.answered >= MIN_ANSWERED_SHARE * second.requests
						&& second.latencyMicros.getValueAtPercentile(95) <= maxLatencyMicros;
				recoveredSecond = normal ? recoveredSecond : i + 1;
			}
			return recoveredSecond - FailingFleet.FAULT_END_SECOND;
		}

	}

}
