package io.bulrushrouter.experts.switchover;

import java.util.Optional;

/**
 * What the engine of a rank keeps for the map switch, and the rules by which orders and
 * steps change it.
 *
 * @param incarnation the incarnation of the group that the engine was started in
 * @param fence the highest fencing number seen; lower ones are refused
 * @param blockedUpTo the highest attempt vowed on; a balancer's commit of it or an older
 * one is refused
 * @param armed the change before whose step the engine stops, while undecided
 * @param committed the last change whose switch was armed
 * @param mapVersion the version of the map in use
 * @param nextStep the next step to begin
 */
public record EngineState(long incarnation, long fence, Attempt blockedUpTo, Optional<MapSwitch> armed,
		Optional<MapSwitch> committed, long mapVersion, long nextStep) {

	/**
	 * Returns the state of an engine that starts in a new incarnation of its group.
	 * @param incarnation the incarnation
	 * @param fence the highest fencing number known when the incarnation was formed
	 * @param mapVersion the version of the map that all ranks start on
	 * @return the state
	 */
	public static EngineState ofStart(long incarnation, long fence, long mapVersion) {
		return new EngineState(incarnation, fence, Attempt.NONE, Optional.empty(), Optional.empty(), mapVersion, 0);
	}

	/**
	 * Returns the state after an order; the same state if the order is refused.
	 * @param order the order
	 * @return the state after it
	 */
	public EngineState after(EngineOrder order) {
		if (order instanceof EngineOrder.Fence fenced) {
			return withFence(fenced.fence());
		}
		if (order instanceof EngineOrder.BlockCommit vow) {
			return blockedUpTo(vow.attempt());
		}
		if (order instanceof EngineOrder.ArmStop stop) {
			return accepts(stop.change()) ? armed(stop.change()) : this;
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
	 * @return whether an undecided change has reached its step
	 */
	public boolean stopped() {
		return this.armed.isPresent() && this.nextStep >= this.armed.get().step();
	}

	/**
	 * Returns the state after the next step has begun; {@link #mapVersion()} is then the
	 * map that the step uses.
	 * @return the state after it
	 */
	public EngineState afterStepBegin() {
		return new EngineState(this.incarnation, this.fence, this.blockedUpTo, this.armed, this.committed,
				nextMapVersion(), this.nextStep + 1);
	}

	/**
	 * Returns the map that the next step uses.
	 * @return the version
	 */
	public long nextMapVersion() {
		return this.committed.filter((change) -> change.step() <= this.nextStep)
			.map(MapSwitch::toVersion)
			.orElse(this.mapVersion);
	}

	/**
	 * Returns whether the switch of an attempt is armed or done.
	 * @param attempt the attempt
	 * @return whether it is
	 */
	public boolean committed(Attempt attempt) {
		return this.committed.isPresent() && this.committed.get().attempt().equals(attempt);
	}

	/**
	 * Returns whether the stop of an attempt is armed.
	 * @param attempt the attempt
	 * @return whether it is
	 */
	public boolean armed(Attempt attempt) {
		return this.armed.isPresent() && this.armed.get().attempt().equals(attempt);
	}

	/**
	 * Returns whether a vow covers an attempt.
	 * @param attempt the attempt
	 * @return whether it does
	 */
	public boolean blocksCommitOf(Attempt attempt) {
		return this.blockedUpTo.compareTo(attempt) >= 0;
	}

	/**
	 * Returns whether a committed change still waits for its step.
	 * @return whether one does
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

	private EngineState blockedUpTo(Attempt attempt) {
		if (committed(attempt)) {
			return this;
		}
		return with(this.fence, this.blockedUpTo.max(attempt), this.armed, this.committed);
	}

	private EngineState armed(MapSwitch change) {
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
