package io.bulrushrouter.experts.balance;

import java.time.Duration;
import java.util.Arrays;
import java.util.List;
import java.util.Optional;
import java.util.stream.IntStream;

import io.bulrushrouter.experts.ExpertMap;
import io.bulrushrouter.experts.PopularityReport;
import io.bulrushrouter.experts.PopularityTracker;
import io.bulrushrouter.experts.StragglerAction;
import io.bulrushrouter.experts.StragglerDetector;
import io.bulrushrouter.experts.planning.ExpertPlan;
import io.bulrushrouter.experts.planning.GroupSkew;
import io.bulrushrouter.experts.planning.PlanRequest;
import io.bulrushrouter.experts.switchover.BalancerInput;
import io.bulrushrouter.experts.switchover.BalancerOutput;
import io.bulrushrouter.experts.switchover.MapSwitchBalancer;
import io.bulrushrouter.experts.switchover.RefusalReason;
import io.bulrushrouter.experts.switchover.SwitchMessage;

/**
 * Balances one group while its lease is held: tracks expert popularity and rank speeds,
 * creates plans and drives the map switch. An attempt is aborted before its step is
 * reached, so that a rank that loads weights too slowly delays no step. Not thread-safe.
 */
public final class GroupBalancer {

	private static final Duration FAST_HALF_LIFE = Duration.ofSeconds(15);

	private static final Duration SLOW_HALF_LIFE = Duration.ofMinutes(5);

	/** The lead time per estimated transfer time of the weights. */
	private static final double TRANSFER_MARGIN = 1.5;

	private static final double MIN_LEAD_SECONDS = 1;

	/** The fraction of the lead steps that remains when an attempt is aborted. */
	private static final double ABORT_MARGIN = 0.1;

	private static final double STEP_SMOOTHING_FACTOR = 0.05;

	private static final double INITIAL_STEP_SECONDS = 0.04;

	private static final double NANOS_PER_SECOND = 1e9;

	private final GroupSettings settings;

	private final MapSwitchBalancer mapSwitch;

	private final PopularityTracker popularity;

	private final StragglerDetector stragglers;

	private ExpertMap current;

	private Optional<PendingSwitch> pending = Optional.empty();

	private long nextPlanNanos;

	private long lastMoveNanos;

	private boolean moved;

	private long step = -1;

	private long stepNanos;

	private double stepSeconds = INITIAL_STEP_SECONDS;

	private double skew = 1;

	private boolean outdated;

	private GroupBalancer(GroupSettings settings, ExpertMap current, long incarnation, long fence) {
		this.settings = settings;
		this.current = current;
		int ranks = current.shape().ranks();
		this.mapSwitch = MapSwitchBalancer.of(ranks, incarnation, fence);
		this.popularity = PopularityTracker.of(current.shape(), FAST_HALF_LIFE, SLOW_HALF_LIFE);
		this.stragglers = StragglerDetector.of(ranks);
	}

	/**
	 * Creates the balancer of a holder that has just acquired the lease.
	 * @param settings the balancing settings
	 * @param current the map in use, read from a rank; the copy of the platform may be
	 * outdated
	 * @param incarnation the incarnation of the group
	 * @param fence the fencing token of the lease
	 * @return the balancer
	 */
	public static GroupBalancer of(GroupSettings settings, ExpertMap current, long incarnation, long fence) {
		return new GroupBalancer(settings, current, incarnation, fence);
	}

	/**
	 * Records a popularity report.
	 * @param report the report
	 */
	public void observe(PopularityReport report) {
		this.popularity.observe(report);
	}

	/**
	 * Records the times of a step; reports of steps may be missing.
	 * @param nowNanos the current time, in nanoseconds
	 * @param report the times
	 */
	public void observe(long nowNanos, StepReport report) {
		if (report.step() <= this.step) {
			return;
		}
		if (this.step >= 0) {
			double seconds = (nowNanos - this.stepNanos) / NANOS_PER_SECOND / (report.step() - this.step);
			this.stepSeconds += STEP_SMOOTHING_FACTOR * (seconds - this.stepSeconds);
		}
		this.step = report.step();
		this.stepNanos = nowNanos;
		this.stragglers.observe(nowNanos, report.nanosPerToken());
	}

	/**
	 * Handles a message from a rank.
	 * @param message the message
	 * @return the messages to send and the outcomes to store
	 */
	public List<BalancerOutput> on(SwitchMessage message) {
		return applyOutcomes(this.mapSwitch.on(new BalancerInput.Received(message)));
	}

	/**
	 * Retries unanswered messages, and creates a plan when one is due.
	 * @param nowNanos the current time, in nanoseconds
	 * @param attended whether an operator is watching the group
	 * @return the actions to take
	 */
	public BalanceActions tick(long nowNanos, boolean attended) {
		List<Integer> replacements = replacements(nowNanos);
		boolean undecided = this.mapSwitch.phase() == MapSwitchBalancer.Phase.PREPARING
				|| this.mapSwitch.phase() == MapSwitchBalancer.Phase.COMMITTING;
		boolean stopped = this.mapSwitch.superseded() || this.outdated;
		if (undecided || stopped || this.step < 0 || nowNanos - this.nextPlanNanos < 0) {
			return new BalanceActions(applyOutcomes(this.mapSwitch.on(retryOrAbort())), Optional.empty(), replacements);
		}
		this.nextPlanNanos = nowNanos + this.settings.planPeriod().toNanos();
		ExpertPlan plan = plan(nowNanos, attended);
		this.skew = plan.skewBefore();
		if (!plan.changesMap()) {
			return new BalanceActions(List.of(), Optional.of(plan), replacements);
		}
		return new BalanceActions(start(plan, nowNanos), Optional.of(plan), replacements);
	}

	private BalancerInput retryOrAbort() {
		boolean abortDue = this.pending.isPresent() && this.step >= this.pending.get().abortStep();
		boolean preparing = this.mapSwitch.phase() == MapSwitchBalancer.Phase.PREPARING;
		return (abortDue && preparing) ? new BalancerInput.GiveUp() : new BalancerInput.Tick();
	}

	private ExpertPlan plan(long nowNanos, boolean attended) {
		double[][] loads = new double[this.current.shape().layers()][];
		Arrays.setAll(loads, this.popularity::shares);
		double sinceMove = this.moved ? (nowNanos - this.lastMoveNanos) / NANOS_PER_SECOND : Double.MAX_VALUE;
		return this.settings.planner()
			.plan(new PlanRequest(this.current, loads, this.stragglers.speeds(), this.settings.instances(),
					this.settings.profile(), this.settings.weights(), attended, sinceMove));
	}

	private List<BalancerOutput> start(ExpertPlan plan, long nowNanos) {
		if (plan.weightLoads() > 0) {
			this.moved = true;
			this.lastMoveNanos = nowNanos;
		}
		double lead = MIN_LEAD_SECONDS + TRANSFER_MARGIN * this.settings.weights().transferSeconds(plan.weightLoads());
		long steps = (long) Math.ceil(lead / this.stepSeconds);
		long abortStep = this.step + steps - (long) Math.ceil(ABORT_MARGIN * steps);
		this.pending = Optional.of(new PendingSwitch(plan, abortStep));
		return applyOutcomes(
				this.mapSwitch.on(new BalancerInput.Start(this.current.version(), plan.map(), this.step + steps)));
	}

	private List<BalancerOutput> applyOutcomes(List<BalancerOutput> outputs) {
		for (BalancerOutput output : outputs) {
			if (output instanceof BalancerOutput.Settled settled) {
				applyOutcome(settled);
			}
		}
		return outputs;
	}

	private void applyOutcome(BalancerOutput.Settled settled) {
		if (settled.committed() && this.pending.isPresent()) {
			this.current = this.pending.get().plan().map();
			this.skew = this.pending.get().plan().skewAfter();
		}
		this.outdated |= settled.reason().filter((reason) -> reason == RefusalReason.MAP_VERSION_MISMATCH).isPresent();
		this.pending = Optional.empty();
	}

	private List<Integer> replacements(long nowNanos) {
		return IntStream.range(0, this.current.shape().ranks())
			.filter((rank) -> stragglerAction(rank, nowNanos) == StragglerAction.REQUEST_REPLACEMENT)
			.boxed()
			.toList();
	}

	/**
	 * Returns the action that is due for a slow rank. The planner reduces shares and
	 * moves experts itself, based on the speed of the rank.
	 * @param rank the rank, from 0
	 * @param nowNanos the current time, in nanoseconds
	 * @return the highest action that is due
	 */
	public StragglerAction stragglerAction(int rank, long nowNanos) {
		return this.stragglers.action(rank, nowNanos, this.settings.moveAfter().toNanos(),
				this.settings.replaceAfter().toNanos());
	}

	/**
	 * Returns the last map known to be committed.
	 * @return the map
	 */
	public ExpertMap map() {
		return this.current;
	}

	/**
	 * Returns whether a higher fencing token was seen, which means that the lease is lost
	 * and this balancer takes no further action.
	 * @return whether the lease is lost
	 */
	public boolean superseded() {
		return this.mapSwitch.superseded();
	}

	/**
	 * Returns whether a rank uses another map than this balancer knows. This balancer
	 * then takes no further action; it must be replaced by one that starts with the map
	 * in use.
	 * @return whether the known map is outdated
	 */
	public boolean outdated() {
		return this.outdated;
	}

	/**
	 * Returns the factor by which the group's steps take longer than those of a group
	 * without skew and stragglers.
	 * @return the factor, at least 1
	 */
	public double slowdown() {
		return this.stragglers.slowdown(this.skew);
	}

	/**
	 * Returns the skew of the map in use for the current popularity and speeds.
	 * @return the time of the slowest rank over the mean
	 */
	public double measuredSkew() {
		double[][] loads = new double[this.current.shape().layers()][];
		Arrays.setAll(loads, this.popularity::shares);
		return GroupSkew.of(this.current, loads, this.stragglers.speeds());
	}

	/**
	 * A plan whose switch is in progress.
	 *
	 * @param plan the plan
	 * @param abortStep the step at which to abort unless all ranks have promised
	 */
	private record PendingSwitch(ExpertPlan plan, long abortStep) {
	}

}
