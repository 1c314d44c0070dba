package io.bulrushrouter.experts.switchover;

import java.util.Optional;

/**
 * The durable state that the engine of a rank keeps for the map switch, and the
 * transitions on orders and steps.
 *
 * @param incarnation the incarnation of the group that the engine was started in
 * @param fence the highest fencing token seen; attempts with a lower one are refused
 * @param blockedUpTo the highest attempt whose commit is blocked; a balancer's commit of
 * it or of an older one is refused
 * @param armed the undecided change before whose step the engine stops, if any
 * @param committed the last change whose switch was armed, if any
 * @param mapVersion the version of the map in use
 * @param nextStep the next step to begin
 */
public record EngineState(long incarnation, long fence, Attempt blockedUpTo, Optional<MapSwitch> armed,
		Optional<MapSwitch> committed, long mapVersion, long nextStep) {

	/**
	 * Returns the state of an engine that starts in a new incarnation of its group.
	 * @param incarnation the incarnation
	 * @param fence the highest fencing token known when the incarnation was formed
	 * @param mapVersion the version of the map that all ranks start on
	 * @return the state
	 */
	public static EngineState ofStart(long incarnation, long fence, long mapVersion) {
		return new EngineState(incarnation, fence, Attempt.NONE, Optional.empty(), Optional.empty(), mapVersion, 0);
	}

	/**
	 * Returns the state after an order, or this state if the order is refused.
	 * @param order the order
	 * @return the state after the order
	 */
	public EngineState after(EngineOrder order) {
		if (order instanceof EngineOrder.Fence fenceOrder) {
			return withFence(fenceOrder.fence());
		}
		if (order instanceof EngineOrder.BlockCommit block) {
			return withCommitBlocked(block.attempt());
		}
		if (order instanceof EngineOrder.ArmStop stop) {
			return accepts(stop.change()) ? withStopArmed(stop.change()) : this;
		}
		if (order instanceof EngineOrder.ArmSwitch arm) {
			return withSwitchArmed(arm);
		}
		if (order instanceof EngineOrder.Release release) {
			return withStopReleased(release.attempt());
		}
		return this;
	}

	/**
	 * Returns whether the engine stops before its next step.
	 * @return whether the engine has reached the step of an undecided change
	 */
	public boolean stopped() {
		return this.armed.isPresent() && this.nextStep >= this.armed.get().step();
	}

	/**
	 * Returns the state after the next step has begun. Its {@link #mapVersion()} is the
	 * map that this step uses.
	 * @return the state after the beginning of the step
	 */
	public EngineState afterStepBegin() {
		return new EngineState(this.incarnation, this.fence, this.blockedUpTo, this.armed, this.committed,
				nextMapVersion(), this.nextStep + 1);
	}

	/**
	 * Returns the version of the map that the next step uses.
	 * @return the map version
	 */
	public long nextMapVersion() {
		return this.committed.filter((change) -> change.step() <= this.nextStep)
			.map(MapSwitch::toVersion)
			.orElse(this.mapVersion);
	}

	/**
	 * Returns whether the switch of an attempt is armed or was made, with no later switch
	 * armed since.
	 * @param attempt the attempt
	 * @return whether the attempt is the last one committed
	 */
	public boolean committed(Attempt attempt) {
		return this.committed.isPresent() && this.committed.get().attempt().equals(attempt);
	}

	/**
	 * Returns whether the stop of an attempt is armed.
	 * @param attempt the attempt
	 * @return whether its stop is armed
	 */
	public boolean armed(Attempt attempt) {
		return this.armed.isPresent() && this.armed.get().attempt().equals(attempt);
	}

	/**
	 * Returns whether a balancer's commit of an attempt is blocked.
	 * @param attempt the attempt
	 * @return whether its commit is blocked
	 */
	public boolean blocksCommitOf(Attempt attempt) {
		return this.blockedUpTo.compareTo(attempt) >= 0;
	}

	/**
	 * Returns whether the step of the last committed change has not begun.
	 * @return whether a switch is pending
	 */
	public boolean pending() {
		return this.committed.isPresent() && this.nextStep <= this.committed.get().step();
	}

	private boolean accepts(MapSwitch change) {
		Attempt attempt = change.attempt();
		if (attempt.fence() < this.fence || blocksCommitOf(attempt) || committed(attempt)) {
			return false;
		}
		return this.armed.isEmpty() && !pending() && change.fromVersion() == this.mapVersion
				&& change.step() > this.nextStep;
	}

	private EngineState withFence(long seen) {
		boolean stale = this.armed.isPresent() && this.armed.get().attempt().fence() < seen;
		Attempt blocked = stale ? this.blockedUpTo.max(this.armed.get().attempt()) : this.blockedUpTo;
		return with(Math.max(this.fence, seen), blocked, this.armed, this.committed);
	}

	private EngineState withCommitBlocked(Attempt attempt) {
		if (committed(attempt)) {
			return this;
		}
		return with(this.fence, this.blockedUpTo.max(attempt), this.armed, this.committed);
	}

	private EngineState withStopArmed(MapSwitch change) {
		return with(Math.max(this.fence, change.attempt().fence()), this.blockedUpTo, Optional.of(change),
				this.committed);
	}

	private EngineState withSwitchArmed(EngineOrder.ArmSwitch order) {
		boolean refused = order.evidence() == EngineOrder.Evidence.BALANCER && blocksCommitOf(order.attempt());
		if (refused || !armed(order.attempt())) {
			return this;
		}
		return with(this.fence, this.blockedUpTo, Optional.empty(), this.armed);
	}

	private EngineState withStopReleased(Attempt attempt) {
		if (!armed(attempt) || !blocksCommitOf(attempt)) {
			return this;
		}
		return with(this.fence, this.blockedUpTo, Optional.empty(), this.committed);
	}

	private EngineState with(long newFence, Attempt newBlockedUpTo, Optional<MapSwitch> newArmed,
			Optional<MapSwitch> newCommitted) {
		return new EngineState(this.incarnation, newFence, newBlockedUpTo, newArmed, newCommitted, this.mapVersion,
				this.nextStep);
	}

}
