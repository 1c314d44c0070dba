package io.bulrushrouter.bench.groupmaps;

import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.Optional;
import java.util.function.Supplier;

import io.bulrushrouter.experts.live.PlacementPlan;
import io.bulrushrouter.experts.live.PlacementPlanner;

/**
 * Simulates a rank group pass by pass under one map rule.
 */
final class GroupSimulation {

	/** Time between shifts of demand. */
	static final double SHIFT_INTERVAL_SECONDS = 4;

	/** The parts in which the counts of the ranks are collected. */
	private static final int PARTS = 4;

	/** Time that a map switch takes after the copying. */
	private static final double SWITCH_SECONDS = 0.3;

	private final GroupParameters parameters;

	private final MapRule rule;

	private final ShiftingDemand demand;

	/** The cumulative counts of each part. */
	private final long[][] counts;

	private final List<Double> skews = new ArrayList<>();

	private int[][][] map;

	private Optional<PlacementPlan> pending = Optional.empty();

	private double copyEnd;

	private double switchTime;

	private double now;

	private long copies;

	GroupSimulation(GroupParameters parameters, MapRule rule, long seed) {
		this.parameters = parameters;
		this.rule = rule;
		this.demand = new ShiftingDemand(parameters, seed);
		this.counts = new long[PARTS][parameters.layerSets() * parameters.experts()];
		this.map = parameters.initialMap();
	}

	/**
	 * Runs the simulation.
	 * @return the results of the run
	 */
	Result run() {
		double nextShift = 0;
		double nextPoll = 0;
		while (this.now < this.parameters.durationSeconds()) {
			if (this.now >= nextShift) {
				if (nextShift > 0) {
					this.demand.shift();
				}
				nextShift += SHIFT_INTERVAL_SECONDS;
				this.rule.planAhead(this.map, this.demand.shares()).ifPresent(this::useCopiedMap);
			}
			if (this.now >= nextPoll) {
				nextPoll = this.now + this.parameters.pollSeconds();
				poll();
			}
			pass();
		}
		long tokens = (long) this.skews.size() * this.parameters.tokensPerPass();
		return new Result(meanSkew(), p99Skew(), tokens / this.now, this.copies);
	}

	private void poll() {
		this.rule.observe(Arrays.stream(this.counts).map(long[]::clone).toList(), (long) (this.now * 1000));
		if (this.pending.isPresent() && this.now >= this.switchTime) {
			this.map = this.pending.get().experts();
			this.pending = Optional.empty();
		}
		if (this.pending.isEmpty()) {
			this.rule.plan(this.map).ifPresent((plan) -> {
				this.pending = Optional.of(plan);
				startCopy(plan);
				this.switchTime = this.copyEnd + SWITCH_SECONDS;
			});
		}
	}

	// The weights were copied before the shift. Charging the copy time after it costs the
	// same in total.
	private void useCopiedMap(PlacementPlan plan) {
		this.map = plan.experts();
		startCopy(plan);
	}

	private void startCopy(PlacementPlan plan) {
		this.copies += plan.copies();
		this.copyEnd = this.now + plan.maxCopiesPerRank() * this.parameters.copySeconds();
	}

	// The prompts of a pass are read by different ranks, so that each part counts other
	// topics.
	private void pass() {
		double[][] ofPass = new double[this.parameters.layerSets()][this.parameters.experts()];
		for (long[] part : this.counts) {
			double[][] shares = this.demand.sharesOfPass(this.parameters.promptsPerPass() / PARTS);
			this.demand.choose(part, shares, this.parameters.expertChoicesPerPass() / PARTS);
			add(ofPass, shares);
		}
		double skew = PlacementPlanner.skew(this.map, ofPass);
		this.skews.add(skew);
		this.now += this.parameters.passSeconds(skew, this.now < this.copyEnd);
	}

	private static void add(double[][] sum, double[][] shares) {
		for (int set = 0; set < sum.length; set++) {
			for (int expert = 0; expert < sum[set].length; expert++) {
				sum[set][expert] += shares[set][expert];
			}
		}
	}

	private double meanSkew() {
		return this.skews.stream().mapToDouble(Double::doubleValue).average().orElse(0);
	}

	private double p99Skew() {
		double[] sorted = this.skews.stream().mapToDouble(Double::doubleValue).sorted().toArray();
		return sorted[Math.min(sorted.length - 1, sorted.length * 99 / 100)];
	}

	/**
	 * Simulates a group with several seeds and averages the results.
	 * @param parameters the group parameters
	 * @param rule supplies a new rule for each run
	 * @param seeds the number of seeds
	 * @return the mean results
	 */
	static Result meanOf(GroupParameters parameters, Supplier<MapRule> rule, int seeds) {
		Result[] results = new Result[seeds];
		Arrays.setAll(results, (seed) -> new GroupSimulation(parameters, rule.get(), seed + 1).run());
		return new Result(Arrays.stream(results).mapToDouble(Result::meanSkew).average().orElseThrow(),
				Arrays.stream(results).mapToDouble(Result::p99Skew).average().orElseThrow(),
				Arrays.stream(results).mapToDouble(Result::tokensPerSecond).average().orElseThrow(),
				Arrays.stream(results).mapToLong(Result::copies).sum() / seeds);
	}

	/**
	 * The results of a simulation.
	 *
	 * @param meanSkew the mean over passes of the most loaded rank's load relative to the
	 * mean load
	 * @param p99Skew the 99th percentile of the skew over passes
	 * @param tokensPerSecond the throughput of the group in tokens a second
	 * @param copies the number of experts copied by all ranks
	 */
	record Result(double meanSkew, double p99Skew, double tokensPerSecond, long copies) {
	}

}
