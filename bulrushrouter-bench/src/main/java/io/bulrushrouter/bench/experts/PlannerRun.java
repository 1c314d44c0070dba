package io.bulrushrouter.bench.experts;

import java.time.Duration;
import java.util.ArrayDeque;
import java.util.Arrays;
import java.util.Deque;

import io.bulrushrouter.experts.ExpertMap;
import io.bulrushrouter.experts.GroupShape;
import io.bulrushrouter.experts.PopularityReport;
import io.bulrushrouter.experts.PopularityTracker;
import io.bulrushrouter.experts.planning.ExpertPlan;
import io.bulrushrouter.experts.planning.ExpertPlanner;
import io.bulrushrouter.experts.planning.ExpertPlanners;
import io.bulrushrouter.experts.planning.GroupSkew;
import io.bulrushrouter.experts.planning.PlanProfile;
import io.bulrushrouter.experts.planning.PlanRequest;

/**
 * Simulates one group for a day under one planner and profile. The planner runs on each
 * tick without a pending map.
 */
final class PlannerRun {

	/** Weight bytes of one expert in one layer: three matrices of 7168 x 2048 bytes. */
	static final long EXPERT_BYTES = 3L * 7168 * 2048;

	private static final double STORE_BYTES_PER_SECOND = 8e9;

	private static final double TOKENS_PER_RANK_AND_TICK = 1000.0 * 8 * 60 / DailyPopularity.TICKS_PER_MINUTE;

	private static final int RANKS_PER_INSTANCE = 8;

	private static final int STRAGGLER_FROM_TICK = 13 * 60 * DailyPopularity.TICKS_PER_MINUTE;

	private static final int STRAGGLER_TO_TICK = 14 * 60 * DailyPopularity.TICKS_PER_MINUTE;

	private static final double STRAGGLER_SPEED = 0.7;

	private static final int ATTENDED_FROM_TICK = 8 * 60 * DailyPopularity.TICKS_PER_MINUTE;

	private static final int ATTENDED_TO_TICK = 18 * 60 * DailyPopularity.TICKS_PER_MINUTE;

	private static final double TICK_SECONDS = 60.0 / DailyPopularity.TICKS_PER_MINUTE;

	private static final double NEVER_MOVED_SECONDS = 1e9;

	private final GroupShape shape;

	private final ExpertPlanner planner;

	private final PlanProfile profile;

	private final DailyPopularity popularityModel;

	private final PopularityTracker popularity;

	private final Deque<PendingMap> pendingMaps = new ArrayDeque<>();

	private final double[] skews = new double[DailyPopularity.TICKS_PER_DAY];

	private final double[] lowerBounds = new double[DailyPopularity.TICKS_PER_DAY];

	private ExpertMap map;

	private double secondsSinceMove = NEVER_MOVED_SECONDS;

	private long bytes;

	private long unattendedBytes;

	private long unattendedNonEmergencyBytes;

	private long switches;

	private long planNanos;

	private long maxPlanNanos;

	PlannerRun(GroupShape shape, ExpertPlanner planner, PlanProfile profile, long seed) {
		this.shape = shape;
		this.planner = planner;
		this.profile = profile;
		this.popularityModel = new DailyPopularity(shape, seed);
		this.popularity = PopularityTracker.of(shape, Duration.ofSeconds(15), Duration.ofMinutes(5));
	}

	/**
	 * Runs the simulation, starting with a map that is planned for the first tick.
	 * @return this run
	 */
	PlannerRun run() {
		double[][] first = this.popularityModel.next(0);
		ExpertMap empty = ExpertMap.ofRoundRobin(1, this.shape);
		this.map = ExpertPlanners.ofRebuild()
			.plan(request(empty, first, speeds(0), PlanProfile.ofLowSkew(), true))
			.map();
		report(first, 0);
		for (int tick = 1; tick < DailyPopularity.TICKS_PER_DAY; tick++) {
			applyDueChanges(tick);
			double[][] shares = this.popularityModel.next(tick);
			this.skews[tick] = GroupSkew.of(this.map, shares, speeds(tick));
			this.lowerBounds[tick] = GroupSkew.lowerBound(this.shape, shares);
			report(shares, tick);
			if (this.pendingMaps.isEmpty()) {
				plan(tick);
			}
			this.secondsSinceMove += TICK_SECONDS;
		}
		return this;
	}

	private void plan(int tick) {
		boolean attended = tick >= ATTENDED_FROM_TICK && tick < ATTENDED_TO_TICK;
		double[][] loads = new double[this.shape.layers()][];
		Arrays.setAll(loads, this.popularity::shares);
		PlanRequest request = request(this.map, loads, speeds(tick), this.profile, attended);
		long startNanos = System.nanoTime();
		ExpertPlan plan = this.planner.plan(request);
		long durationNanos = System.nanoTime() - startNanos;
		this.planNanos += durationNanos;
		this.maxPlanNanos = Math.max(this.maxPlanNanos, durationNanos);
		if (!plan.changesMap()) {
			return;
		}
		this.switches++;
		this.bytes += plan.bytes();
		this.unattendedBytes += attended ? 0 : plan.bytes();
		this.unattendedNonEmergencyBytes += (attended || plan.skewBefore() > this.profile.emergencySkew()) ? 0
				: plan.bytes();
		this.secondsSinceMove = (plan.weightLoads() > 0) ? 0 : this.secondsSinceMove;
		int transferTicks = (int) Math.ceil(request.weights().transferSeconds(plan.weightLoads()) / TICK_SECONDS);
		this.pendingMaps.add(new PendingMap(tick + Math.max(1, transferTicks), plan.map()));
	}

	private void applyDueChanges(int tick) {
		while (!this.pendingMaps.isEmpty() && this.pendingMaps.peek().tick() <= tick) {
			this.map = this.pendingMaps.poll().map();
		}
	}

	private void report(double[][] shares, int tick) {
		double tokens = TOKENS_PER_RANK_AND_TICK * this.shape.ranks();
		for (int layer = 0; layer < shares.length; layer++) {
			this.popularity.observe(
					new PopularityReport(0, tick, layer, Duration.ofSeconds(Math.round(tick * TICK_SECONDS)).toNanos(),
							this.popularityModel.sampleCounts(shares[layer], tokens)));
		}
	}

	private PlanRequest request(ExpertMap current, double[][] loads, double[] speeds, PlanProfile planProfile,
			boolean attended) {
		int[] instances = new int[this.shape.ranks()];
		Arrays.setAll(instances, (rank) -> rank / RANKS_PER_INSTANCE);
		PlanRequest.WeightStore weights = new PlanRequest.WeightStore(EXPERT_BYTES, STORE_BYTES_PER_SECOND);
		return new PlanRequest(current, loads, speeds, instances, planProfile, weights, attended,
				this.secondsSinceMove);
	}

	private double[] speeds(int tick) {
		double[] speeds = new double[this.shape.ranks()];
		Arrays.fill(speeds, 1);
		if (tick >= STRAGGLER_FROM_TICK && tick < STRAGGLER_TO_TICK) {
			speeds[this.shape.ranks() / 3] = STRAGGLER_SPEED;
		}
		return speeds;
	}

	double[] skews() {
		return Arrays.copyOfRange(this.skews, 1, this.skews.length);
	}

	double skew(double quantile) {
		return quantile(this.skews, quantile);
	}

	double lowerBound(double quantile) {
		return quantile(this.lowerBounds, quantile);
	}

	private static double quantile(double[] values, double quantile) {
		double[] sorted = Arrays.copyOfRange(values, 1, values.length);
		Arrays.sort(sorted);
		return sorted[(int) Math.min(sorted.length - 1, Math.floor(quantile * sorted.length))];
	}

	long bytes() {
		return this.bytes;
	}

	long unattendedBytes() {
		return this.unattendedBytes;
	}

	long unattendedNonEmergencyBytes() {
		return this.unattendedNonEmergencyBytes;
	}

	long switches() {
		return this.switches;
	}

	double meanPlanSeconds() {
		return this.planNanos / 1e9 / DailyPopularity.TICKS_PER_DAY;
	}

	double maxPlanSeconds() {
		return this.maxPlanNanos / 1e9;
	}

	/** A planned map and the tick at which it takes effect. */
	private record PendingMap(int tick, ExpertMap map) {
	}

}
