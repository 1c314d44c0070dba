package io.bulrushrouter.bench.groupmaps;

import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.Optional;
import java.util.function.Supplier;

import io.bulrushrouter.experts.live.PlacementPlan;
import io.bulrushrouter.experts.live.PlacementPlanner;

/**
 * Plays a group pass by pass under one rule for its maps.
 */
final class GroupSimulation {

	/** Time between turns of demand. */
	static final double SHIFT_INTERVAL_SECONDS = 4;

	/** Time between two looks at the counts. */
	private static final double POLL_INTERVAL_SECONDS = 0.1;

	/** Time that a switch takes beside the copying. */
	private static final double SWITCH_SECONDS = 0.3;

	private final GroupParameters parameters;

	private final MapRule rule;

	private final ShiftingDemand demand;

	private final long[] counts;

	private final List<Double> skews = new ArrayList<>();

	private int[][][] map;

	private Optional<PlacementPlan> pending = Optional.empty();

	private double copyEnd;

	private double switchTime;

	private double now;

	private double skew;

	private long copies;

	GroupSimulation(GroupParameters figures, MapRule rule, long seed) {
		this.parameters = figures;
		this.rule = rule;
		this.demand = new ShiftingDemand(figures, seed);
		this.counts = new long[figures.layerSets() * figures.experts()];
		this.map = figures.initialMap();
	}

	/**
	 * Plays.
	 * @return the figures of the play
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
				updateSkew();
			}
			if (this.now >= nextPoll) {
				nextPoll = this.now + POLL_INTERVAL_SECONDS;
				poll();
			}
			pass();
		}
		long tokens = (long) this.skews.size() * this.parameters.tokensPerPass();
		return new Result(meanSkew(), p99Skew(), tokens / this.now, this.copies);
	}

	private void poll() {
		this.rule.observe(this.counts.clone(), (long) (this.now * 1000));
		if (this.pending.isPresent() && this.now >= this.switchTime) {
			this.map = this.pending.get().experts();
			this.pending = Optional.empty();
			updateSkew();
		}
		if (this.pending.isEmpty()) {
			this.rule.plan(this.map).ifPresent((plan) -> {
				this.pending = Optional.of(plan);
				startCopy(plan);
				this.switchTime = this.copyEnd + SWITCH_SECONDS;
			});
		}
	}

	// The time of copying is charged now, which is as much as before.
	private void useCopiedMap(PlacementPlan plan) {
		this.map = plan.experts();
		startCopy(plan);
	}

	private void startCopy(PlacementPlan plan) {
		this.copies += plan.copies();
		this.copyEnd = this.now + plan.mostCopies() * this.parameters.copySeconds();
	}

	private void pass() {
		this.demand.choose(this.counts, this.parameters.expertChoicesPerPass());
		this.skews.add(this.skew);
		this.now += this.parameters.passSeconds(this.skew, this.now < this.copyEnd);
	}

	private void updateSkew() {
		this.skew = PlacementPlanner.skew(this.map, this.demand.shares());
	}

	private double meanSkew() {
		return this.skews.stream().mapToDouble(Double::doubleValue).average().orElse(0);
	}

	private double p99Skew() {
		double[] sorted = this.skews.stream().mapToDouble(Double::doubleValue).sorted().toArray();
		return sorted[Math.min(sorted.length - 1, sorted.length * 99 / 100)];
	}

	/**
	 * Plays several seeds and takes the means.
	 * @param parameters the group
	 * @param rule the rule, new for each play
	 * @param seeds how many seeds
	 * @return the means
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
	 * The figures of a play.
	 *
	 * @param meanSkew the mean over passes of the most loaded rank's part over the mean
	 * @param p99Skew its 99th percentile
	 * @param tokensPerSecond the group's tokens a second
	 * @param copies the experts copied by all ranks
	 */
	record Result(double meanSkew, double p99Skew, double tokensPerSecond, long copies) {
	}

}
