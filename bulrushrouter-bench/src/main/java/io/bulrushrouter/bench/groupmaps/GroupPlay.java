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
final class GroupPlay {

	/** Time between turns of demand. */
	static final double SECONDS_OF_TURN = 4;

	/** Time between two looks at the counts. */
	private static final double SECONDS_OF_LOOK = 0.1;

	/** Time that a switch takes beside the copying. */
	private static final double SECONDS_OF_SWITCH = 0.3;

	private final GroupFigures figures;

	private final MapRule rule;

	private final TurningDemand demand;

	private final long[] counts;

	private final List<Double> skews = new ArrayList<>();

	private int[][][] map;

	private Optional<PlacementPlan> pending = Optional.empty();

	private double copiedAt;

	private double switchAt;

	private double now;

	private double skew;

	private long copies;

	GroupPlay(GroupFigures figures, MapRule rule, long seed) {
		this.figures = figures;
		this.rule = rule;
		this.demand = new TurningDemand(figures, seed);
		this.counts = new long[figures.sets() * figures.experts()];
		this.map = figures.firstMap();
	}

	/**
	 * Plays.
	 * @return the figures of the play
	 */
	Result run() {
		double nextTurn = 0;
		double nextLook = 0;
		while (this.now < this.figures.seconds()) {
			if (this.now >= nextTurn) {
				if (nextTurn > 0) {
					this.demand.turn();
				}
				nextTurn += SECONDS_OF_TURN;
				this.rule.foresee(this.map, this.demand.shares()).ifPresent(this::copiedBefore);
				measure();
			}
			if (this.now >= nextLook) {
				nextLook = this.now + SECONDS_OF_LOOK;
				look();
			}
			pass();
		}
		long tokens = (long) this.skews.size() * this.figures.tokensOfPass();
		return new Result(mean(), ninetyNinth(), tokens / this.now, this.copies);
	}

	private void look() {
		this.rule.observe(this.counts.clone(), (long) (this.now * 1000));
		if (this.pending.isPresent() && this.now >= this.switchAt) {
			this.map = this.pending.get().experts();
			this.pending = Optional.empty();
			measure();
		}
		if (this.pending.isEmpty()) {
			this.rule.plan(this.map).ifPresent((plan) -> {
				this.pending = Optional.of(plan);
				copy(plan);
				this.switchAt = this.copiedAt + SECONDS_OF_SWITCH;
			});
		}
	}

	// The time of copying is charged now, which is as much as before.
	private void copiedBefore(PlacementPlan plan) {
		this.map = plan.experts();
		copy(plan);
	}

	private void copy(PlacementPlan plan) {
		this.copies += plan.copies();
		this.copiedAt = this.now + plan.maxCopiesPerRank() * this.figures.secondsForCopy();
	}

	private void pass() {
		this.demand.choose(this.counts, this.figures.choicesOfPass());
		this.skews.add(this.skew);
		this.now += this.figures.passSeconds(this.skew, this.now < this.copiedAt);
	}

	private void measure() {
		this.skew = PlacementPlanner.skew(this.map, this.demand.shares());
	}

	private double mean() {
		return this.skews.stream().mapToDouble(Double::doubleValue).average().orElse(0);
	}

	private double ninetyNinth() {
		double[] sorted = this.skews.stream().mapToDouble(Double::doubleValue).sorted().toArray();
		return sorted[Math.min(sorted.length - 1, sorted.length * 99 / 100)];
	}

	/**
	 * Plays several seeds and takes the means.
	 * @param figures the group
	 * @param rule the rule, new for each play
	 * @param seeds how many seeds
	 * @return the means
	 */
	static Result meanOf(GroupFigures figures, Supplier<MapRule> rule, int seeds) {
		Result[] results = new Result[seeds];
		Arrays.setAll(results, (seed) -> new GroupPlay(figures, rule.get(), seed + 1).run());
		return new Result(Arrays.stream(results).mapToDouble(Result::meanSkew).average().orElseThrow(),
				Arrays.stream(results).mapToDouble(Result::ninetyNinthSkew).average().orElseThrow(),
				Arrays.stream(results).mapToDouble(Result::tokensASecond).average().orElseThrow(),
				Arrays.stream(results).mapToLong(Result::copies).sum() / seeds);
	}

	/**
	 * The figures of a play.
	 *
	 * @param meanSkew the mean over passes of the most loaded rank's part over the mean
	 * @param ninetyNinthSkew its 99th percentile
	 * @param tokensASecond the group's tokens a second
	 * @param copies the experts copied by all ranks
	 */
	record Result(double meanSkew, double ninetyNinthSkew, double tokensASecond, long copies) {
	}

}
