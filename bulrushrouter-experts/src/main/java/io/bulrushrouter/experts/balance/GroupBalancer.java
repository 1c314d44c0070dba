package io.bulrushrouter.experts.balance;

import java.time.Duration;
import java.util.Arrays;
import java.util.List;
import java.util.Optional;
import java.util.stream.IntStream;

import io.bulrushrouter.experts.ExpertMap;
import io.bulrushrouter.experts.Popularity;
import io.bulrushrouter.experts.PopularityReport;
import io.bulrushrouter.experts.StragglerAnswer;
import io.bulrushrouter.experts.Stragglers;
import io.bulrushrouter.experts.planning.ExpertPlan;
import io.bulrushrouter.experts.planning.GroupSkew;
import io.bulrushrouter.experts.planning.PlanRequest;
import io.bulrushrouter.experts.switchover.BalancerInput;
import io.bulrushrouter.experts.switchover.BalancerOutput;
import io.bulrushrouter.experts.switchover.MapSwitchBalancer;
import io.bulrushrouter.experts.switchover.RefusalReason;
import io.bulrushrouter.experts.switchover.SwitchMessage;

/**
 * The balancing duty of one group under one lease: tracks popularity and rank speeds,
 * plans, and drives the map switch. An attempt is given up before its step is reached, so
 * that a rank that loads too slowly delays no step. Confined to one thread.
 */
public final class GroupBalancer {

	private static final Duration FAST_HALF_LIFE = Duration.ofSeconds(15);

	private static final Duration SLOW_HALF_LIFE = Duration.ofMinutes(5);

	private static final double TRANSFER_MARGIN = 1.5;

	private static final double LEAST_LEAD_SECONDS = 1;

	private static final double GIVE_UP_PART = 0.1;

	private static final double STEP_WEIGHT = 0.05;

	private static final double FIRST_STEP_SECONDS = 0.04;

	private static final double NANOS = 1e9;

	private final GroupSettings settings;

	private final MapSwitchBalancer balancer;

	private final Popularity popularity;

	private final Stragglers stragglers;

	private ExpertMap current;

	private Optional<Attempted> attempted = Optional.empty();

	private long nextPlanNanos;

	private long lastMoveNanos;

	private boolean moved;

	private long step = -1;

	private long stepNanos;

	private double stepSeconds = FIRST_STEP_SECONDS;

	private double skew = 1;

	private boolean outdated;

	private GroupBalancer(GroupSettings settings, ExpertMap current, long incarnation, long fence) {
		this.settings = settings;
		this.current = current;
		int ranks = current.shape().ranks();
		this.balancer = MapSwitchBalancer.of(ranks, incarnation, fence);
		this.popularity = Popularity.of(current.shape(), FAST_HALF_LIFE, SLOW_HALF_LIFE);
		this.stragglers = Stragglers.of(ranks);
	}

	/**
	 * Returns the duty of a holder that has just taken the lease.
	 * @param settings how to balance
	 * @param current the map in use, read from a rank; the platform's copy may be older
	 * @param incarnation the incarnation of the group
	 * @param fence the fencing number of the lease
	 * @return the duty
	 */
	public static GroupBalancer of(GroupSettings settings, ExpertMap current, long incarnation, long fence) {
		return new GroupBalancer(settings, current, incarnation, fence);
	}

	/**
	 * Takes a report of popularity.
	 * @param report the report
	 */
	public void observe(PopularityReport report) {
		this.popularity.observe(report);
	}

	/**
	 * Takes the times of a step; steps may be missing.
	 * @param nowNanos the time
	 * @param report the times
	 */
	public void observe(long nowNanos, StepReport report) {
		if (report.step() <= this.step) {
			return;
		}
		if (this.step >= 0) {
			double seconds = (nowNanos - this.stepNanos) / NANOS / (report.step() - this.step);
			this.stepSeconds += STEP_WEIGHT * (seconds - this.stepSeconds);
		}
		this.step = report.step();
		this.stepNanos = nowNanos;
		this.stragglers.observe(nowNanos, report.nanosPerToken());
	}

	/**
	 * Takes a rank's message.
	 * @param message the message
	 * @return what to send and to write
	 */
	public List<BalancerOutput> on(SwitchMessage message) {
		return settled(this.balancer.on(new BalancerInput.Received(message)));
	}

	/**
	 * Sends again what was not answered, and plans when it is time to.
	 * @param nowNanos the time
	 * @param attended whether somebody watches the group
	 * @return what to do
	 */
	public BalanceActions tick(long nowNanos, boolean attended) {
		List<Integer> replacements = replacements(nowNanos);
		boolean undecided = this.balancer.phase() == MapSwitchBalancer.Phase.PREPARING
				|| this.balancer.phase() == MapSwitchBalancer.Phase.COMMITTING;
		boolean done = this.balancer.superseded() || this.outdated;
		if (undecided || done || this.step < 0 || nowNanos - this.nextPlanNanos < 0) {
			return new BalanceActions(settled(this.balancer.on(retryOrGiveUp())), Optional.empty(), replacements);
		}
		this.nextPlanNanos = nowNanos + this.settings.planPeriod().toNanos();
		ExpertPlan plan = plan(nowNanos, attended);
		this.skew = plan.skewBefore();
		if (!plan.changesMap()) {
			return new BalanceActions(List.of(), Optional.of(plan), replacements);
		}
		return new BalanceActions(start(plan, nowNanos), Optional.of(plan), replacements);
	}

	private BalancerInput retryOrGiveUp() {
		boolean late = this.attempted.isPresent() && this.step >= this.attempted.get().giveUpStep();
		boolean preparing = this.balancer.phase() == MapSwitchBalancer.Phase.PREPARING;
		return (late && preparing) ? new BalancerInput.GiveUp() : new BalancerInput.Tick();
	}

	private ExpertPlan plan(long nowNanos, boolean attended) {
		double[][] loads = new double[this.current.shape().layers()][];
		Arrays.setAll(loads, this.popularity::shares);
		double sinceMove = this.moved ? (nowNanos - this.lastMoveNanos) / NANOS : Double.MAX_VALUE;
		return this.settings.planner()
			.plan(new PlanRequest(this.current, loads, this.stragglers.speeds(), this.settings.instances(),
					this.settings.profile(), this.settings.weights(), attended, sinceMove));
	}

	private List<BalancerOutput> start(ExpertPlan plan, long nowNanos) {
		if (plan.weightLoads() > 0) {
			this.moved = true;
			this.lastMoveNanos = nowNanos;
		}
		double lead = LEAST_LEAD_SECONDS
				+ TRANSFER_MARGIN * this.settings.weights().transferSeconds(plan.weightLoads());
		long steps = (long) Math.ceil(lead / this.stepSeconds);
		long giveUp = this.step + steps - (long) Math.ceil(GIVE_UP_PART * steps);
		this.attempted = Optional.of(new Attempted(plan, giveUp));
		return settled(
				this.balancer.on(new BalancerInput.Start(this.current.version(), plan.map(), this.step + steps)));
	}

	private List<BalancerOutput> settled(List<BalancerOutput> outputs) {
		for (BalancerOutput output : outputs) {
			if (output instanceof BalancerOutput.Settled settled) {
				adopt(settled);
			}
		}
		return outputs;
	}

	private void adopt(BalancerOutput.Settled settled) {
		if (settled.committed() && this.attempted.isPresent()) {
			this.current = this.attempted.get().plan().map();
			this.skew = this.attempted.get().plan().skewAfter();
		}
		this.outdated |= settled.reason().filter((reason) -> reason == RefusalReason.MAP_VERSION_MISMATCH).isPresent();
		this.attempted = Optional.empty();
	}

	private List<Integer> replacements(long nowNanos) {
		return IntStream.range(0, this.current.shape().ranks())
			.filter((rank) -> answer(rank, nowNanos) == StragglerAnswer.ASK_REPLACEMENT)
			.boxed()
			.toList();
	}

	/**
	 * Returns what is due about a rank. Smaller shares and moves are the planner's work;
	 * it is given the rank's speed.
	 * @param rank the rank
	 * @param nowNanos the time
	 * @return the furthest answer that is due
	 */
	public StragglerAnswer answer(int rank, long nowNanos) {
		return this.stragglers.answer(rank, nowNanos, this.settings.moveAfter().toNanos(),
				this.settings.replaceAfter().toNanos());
	}

	/**
	 * Returns the map that is known to be committed.
	 * @return the map
	 */
	public ExpertMap map() {
		return this.current;
	}

	/**
	 * Returns whether a higher fencing number was seen: the lease is lost, and this duty
	 * does nothing more.
	 * @return whether one was
	 */
	public boolean superseded() {
		return this.balancer.superseded();
	}

	/**
	 * Returns whether a rank uses another map than this duty knows: it does nothing more,
	 * and a new one is to be made with the map that the ranks use.
	 * @return whether one does
	 */
	public boolean outdated() {
		return this.outdated;
	}

	/**
	 * Returns how much longer the group's steps take than those of a group without skew
	 * and stragglers.
	 * @return the factor, at least 1
	 */
	public double slowness() {
		return this.stragglers.slowness(this.skew);
	}

	/**
	 * Returns the skew of the map in use under the popularity and speeds measured now.
	 * @return the slowest rank over the mean
	 */
	public double measuredSkew() {
		double[][] loads = new double[this.current.shape().layers()][];
		Arrays.setAll(loads, this.popularity::shares);
		return GroupSkew.of(this.current, loads, this.stragglers.speeds());
	}

	/**
	 * A plan whose switch is under way.
	 *
	 * @param plan the plan
	 * @param giveUpStep the step at which to give up unless all have promised
	 */
	private record Attempted(ExpertPlan plan, long giveUpStep) {
	}

}
