package io.bulrushrouter.bench.experts;

import java.io.PrintStream;
import java.lang.management.ManagementFactory;
import java.util.Arrays;
import java.util.List;
import java.util.Locale;

import io.bulrushrouter.experts.ExpertMap;
import io.bulrushrouter.experts.GroupShape;
import io.bulrushrouter.experts.planning.ExpertPlan;
import io.bulrushrouter.experts.planning.ExpertPlanners;
import io.bulrushrouter.experts.planning.PlanProfile;
import io.bulrushrouter.experts.planning.PlanRequest;

/**
 * Measures processor time and memory of one plan after the popularity has drifted since
 * the map was built. After hours of drift every layer has to move.
 */
final class PlanCost {

	private static final double MAX_PLAN_SECONDS = 1;

	private static final int WARM_UPS = 3;

	private static final int SMALL_DRIFT_MINUTES = 20;

	private static final int LARGE_DRIFT_MINUTES = 6 * 60;

	private PlanCost() {
	}

	/**
	 * Prints the planning cost for groups of increasing size.
	 * @param out the stream that the table is printed to
	 * @return whether the largest group is planned within a second
	 */
	static boolean print(PrintStream out) {
		out.println("| ranks | experts | layers | slots a rank | minutes of drift | seconds of one core "
				+ "| MB allocated | expert loads |");
		out.println("|---|---|---|---|---|---|---|---|");
		for (GroupShape shape : List.of(GroupShape.of(58, 256, 64, 5), GroupShape.of(58, 256, 128, 3),
				GroupShape.of(29, 256, 256, 2), GroupShape.of(58, 128, 256, 2))) {
			printRow(out, shape, SMALL_DRIFT_MINUTES);
			printRow(out, shape, LARGE_DRIFT_MINUTES);
		}
		GroupShape largest = GroupShape.of(58, 256, 256, 2);
		double small = printRow(out, largest, SMALL_DRIFT_MINUTES);
		return Math.max(small, printRow(out, largest, LARGE_DRIFT_MINUTES)) < MAX_PLAN_SECONDS;
	}

	private static double printRow(PrintStream out, GroupShape shape, int driftMinutes) {
		DailyPopularity popularity = new DailyPopularity(shape, 1);
		double[][] loads = popularity.next(0);
		ExpertMap empty = ExpertMap.ofRoundRobin(1, shape);
		ExpertMap map = ExpertPlanners.ofRebuild().plan(request(empty, loads)).map();
		PlanRequest drifted = request(map, popularity.next(driftMinutes * DailyPopularity.TICKS_PER_MINUTE));
		ExpertPlan plan = null;
		double seconds = 0;
		double megabytes = 0;
		for (int run = 0; run <= WARM_UPS; run++) {
			long bytes = allocated();
			long startNanos = ManagementFactory.getThreadMXBean().getCurrentThreadCpuTime();
			plan = ExpertPlanners.ofFitted().plan(drifted);
			seconds = (ManagementFactory.getThreadMXBean().getCurrentThreadCpuTime() - startNanos) / 1e9;
			megabytes = (allocated() - bytes) / 1e6;
		}
		out.printf(Locale.ROOT, "| %d | %d | %d | %d | %d | %.3f | %.0f | %d |%n", shape.ranks(), shape.experts(),
				shape.layers(), shape.slots(), driftMinutes, seconds, megabytes, plan.weightLoads());
		return seconds;
	}

	private static long allocated() {
		return ((com.sun.management.ThreadMXBean) ManagementFactory.getThreadMXBean())
			.getThreadAllocatedBytes(Thread.currentThread().getId());
	}

	private static PlanRequest request(ExpertMap map, double[][] loads) {
		double[] speeds = new double[map.shape().ranks()];
		Arrays.fill(speeds, 1);
		PlanRequest.WeightStore weights = new PlanRequest.WeightStore(PlannerRun.EXPERT_BYTES, 1e12);
		return new PlanRequest(map, loads, speeds, new int[speeds.length], PlanProfile.ofLowSkew(), weights, true, 1e9);
	}

}
