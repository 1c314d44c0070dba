package io.bulrushrouter.experts.live;

import java.util.ArrayList;
import java.util.EnumSet;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.Set;

/**
 * Decides the orders that switch a group from one expert map to the next such that no
 * forward pass runs with different maps on different ranks. The protocol works in rounds:
 * collect the status of all ranks, send the orders that follow from it, await their
 * answers until a timeout, and start the next round. An order without an answer may take
 * effect much later; the decisions are safe whenever it does.
 * <p>
 * The sequence is: prepare all ranks; hold the group before a future pass; arm all ranks
 * for that pass; once all are seen armed, commit by sending go. Ranks can be armed for
 * different switches only while the group is held. To abort, armed ranks are disarmed and
 * the prepared map is replaced by the one in use, so that a delayed arm finds nothing to
 * switch to, before the group is released. Versions and the passes of holds are never
 * reused.
 * <p>
 * The leader's own rank is the last to be armed and the first to be disarmed: it can only
 * be armed while all others are. So another process can abort the switch while the
 * instance of the leader is suspended and its rank cannot be asked, as long as one of the
 * other ranks is not armed.
 */
public final class GroupSwitch {

	/**
	 * No hold is sent for a pass more than this number after the last started one. The
	 * pass of a hold is never reused, so repeated holds of an idle group move ahead of
	 * its passes.
	 */
	static final int MAX_PASSES_AHEAD = 2 * HoldDistance.MAX_PASSES;

	/** The number of rounds in which arming is tried before the switch is aborted. */
	private static final int MAX_ARM_ROUNDS = 6;

	/** The number of rounds in which to wait for all ranks to be prepared. */
	private static final int MAX_PREPARE_ROUNDS = 40;

	private final long versionBase;

	private final Set<Guard> guards;

	/** Versions of maps identical to the one in use; no arm was ever sent for them. */
	private final Set<Long> neutralVersions = new HashSet<>();

	/**
	 * The ranks that have confirmed a neutral version as prepared. They are not armed,
	 * and a delayed arm finds nothing to switch to.
	 */
	private final Set<Integer> neutralRanks = new HashSet<>();

	/** The versions for which ranks have accepted a disarm, by rank. */
	private final Map<Integer, Long> disarmedVersions = new HashMap<>();

	private long versionsUsed;

	private long epoch = -1;

	private long highestHoldStep;

	/**
	 * The distance from the last started pass to the one before which the group is held.
	 */
	private int holdDistance = HoldDistance.MIN_PASSES;

	/**
	 * The pass of a hold that was accepted and whose release has no answer yet.
	 */
	private OptionalLong acceptedHold = OptionalLong.empty();

	/** The version of the last committed switch. */
	private long committedVersion = -1;

	/** The pass before which the group was held when that switch was committed. */
	private long committedHoldStep = -1;

	/**
	 * Whether the rank that holds the group has accepted an order of this lease holder in
	 * the current epoch, so that it refuses orders of earlier holders that are still in
	 * flight.
	 */
	private boolean fenced;

	private int[][][] inUse;

	private PendingSwitch pending;

	private GroupSwitch(long versionBase, Set<Guard> guards) {
		this.versionBase = versionBase;
		this.guards = guards;
	}

	/**
	 * Creates the switch state of a group for a new lease holder.
	 * @param versionBase a number greater than every version that an earlier lease holder
	 * has used
	 * @return the switch state
	 */
	public static GroupSwitch of(long versionBase) {
		return new GroupSwitch(versionBase, Guard.all());
	}

	/**
	 * Creates switch state with some rules disabled, so that tests can show what each
	 * rule is for.
	 * @param versionBase a number greater than every version used before
	 * @param guards the rules that are enabled
	 * @return the switch state
	 */
	static GroupSwitch ofGuards(long versionBase, Set<Guard> guards) {
		return new GroupSwitch(versionBase, guards);
	}

	/**
	 * Returns whether a new map may be proposed.
	 * @return whether no switch is in progress
	 */
	public boolean idle() {
		return this.pending == null;
	}

	/**
	 * Returns whether the group would continue by itself if no lease holder sent it
	 * further orders.
	 * @param view the statuses of the ranks
	 * @return whether no hold is in place or in flight, and either all ranks are armed
	 * for the same switch or none is armed
	 */
	public boolean settled(GroupView view) {
		boolean holding = held(view).isPresent() || (this.pending != null && this.pending.holdSent);
		return !holding && (!view.armedByAny() || view.armedByAll().isPresent());
	}

	/**
	 * Proposes a map to switch to.
	 * @param experts the experts of each rank, by set and rank
	 * @return the version assigned to the map
	 */
	public long propose(int[][][] experts) {
		forgetAbort();
		this.pending = new PendingSwitch(nextVersion(), experts);
		return this.pending.version;
	}

	private void forgetAbort() {
		this.neutralRanks.clear();
		this.disarmedVersions.clear();
	}

	private long nextVersion() {
		return this.versionBase + ++this.versionsUsed;
	}

	/**
	 * Sets how far ahead the group is held for a switch.
	 * @param passes the number of passes after the last started one
	 */
	public void holdDistance(int passes) {
		this.holdDistance = passes;
	}

	/**
	 * Returns the orders of the next round.
	 * @param view the statuses of the ranks
	 * @param experts the experts of the map in use, by set and rank
	 * @return the orders, possibly none
	 */
	public List<RankCommand> nextOrders(GroupView view, int[][][] experts) {
		this.inUse = experts;
		if (view.epoch() != this.epoch) {
			startEpoch(view);
		}
		OptionalLong held = held(view);
		if (held.isPresent()) {
			this.highestHoldStep = Math.max(this.highestHoldStep, held.getAsLong());
			return whileHeld(view, held.getAsLong());
		}
		if (!view.complete()) {
			return List.of();
		}
		if (view.armedByAny()) {
			return whileArmed(view);
		}
		if (this.pending == null) {
			return List.of();
		}
		return prepareThenHold(view);
	}

	// Returns the pass before which the group is held. A status may be older than the
	// answer to the hold.
	private OptionalLong held(GroupView view) {
		if (this.acceptedHold.isPresent() && view.step() >= this.acceptedHold.getAsLong()) {
			this.acceptedHold = OptionalLong.empty();
		}
		return view.held().isPresent() ? view.held() : this.acceptedHold;
	}

	// Discards the switch of the previous epoch. The passes of holds of earlier lease
	// holders may be used again: a rank that has accepted a hold of this one refuses
	// their delayed orders.
	private void startEpoch(GroupView view) {
		this.epoch = view.epoch();
		this.pending = null;
		this.acceptedHold = OptionalLong.empty();
		forgetAbort();
		this.committedVersion = -1;
		this.committedHoldStep = -1;
		this.fenced = false;
		this.highestHoldStep = view.step();
	}

	private List<RankCommand> prepareThenHold(GroupView view) {
		if (this.pending.holdSent && view.step() >= this.pending.step) {
			this.pending = this.pending.retry();
		}
		if (this.guards.contains(Guard.PREPARE_ALL) && !view.preparedByAll(this.pending.version)) {
			return prepare(view);
		}
		long step = view.step() + this.holdDistance;
		if (this.guards.contains(Guard.NEVER_REUSE_HOLD)) {
			step = Math.max(step, this.highestHoldStep + 1);
		}
		if (step > view.step() + MAX_PASSES_AHEAD) {
			return List.of();
		}
		this.pending.step = step;
		this.highestHoldStep = this.pending.step;
		this.pending.holdSent = true;
		return hold(this.pending.step);
	}

	private List<RankCommand> prepare(GroupView view) {
		if (this.pending.prepareRounds++ > MAX_PREPARE_ROUNDS) {
			this.pending = null;
			return List.of();
		}
		List<RankCommand> commands = new ArrayList<>();
		for (int rank = 0; rank < view.size(); rank++) {
			if (!this.pending.acceptedRanks.contains(rank) && !hasPrepared(view.rank(rank), this.pending.version)) {
				commands.add(new RankCommand(rank, new RankOrder.Prepare(this.pending.version, this.pending.experts)));
			}
		}
		return commands;
	}

	private static boolean hasPrepared(RankStatus status, long version) {
		return status.prepared().isPresent() && status.prepared().getAsLong() == version;
	}

	private List<RankCommand> whileHeld(GroupView view, long held) {
		if (this.guards.contains(Guard.FENCE_FIRST) && !this.fenced) {
			// A go of an earlier lease holder may be in flight. Before any rank is
			// disarmed, it must have taken effect or be refused from now on.
			return hold(held);
		}
		if (this.guards.contains(Guard.NEVER_ABORT_COMMITTED) && held == this.committedHoldStep) {
			// All ranks are armed even if an outdated status says otherwise, and the go
			// that was sent may take effect at any time.
			return release(held);
		}
		boolean ownHold = this.pending != null && this.pending.holdSent && this.pending.step == held
				&& !(this.guards.contains(Guard.NEVER_COMMIT_ABORTED) && this.pending.aborted);
		Set<Integer> armed = ownHold ? armedRanks(view) : Set.of();
		if (armed.size() == view.size()) {
			return commit(this.pending.version, held);
		}
		Optional<RankStatus.Armed> armedForAll = view.armedByAll();
		if (armedForAll.isPresent() && mayCommit(armedForAll.get(), ownHold)) {
			return commit(armedForAll.get().version(), held);
		}
		if (ownHold) {
			if (this.pending.armRounds++ < MAX_ARM_ROUNDS && canArm(view, armed)) {
				return arm(view, held, armed);
			}
			this.pending.aborted = true;
		}
		return rollBack(view, held);
	}

	private static List<RankCommand> hold(long step) {
		return List.of(new RankCommand(GroupView.HOLD_RANK, new RankOrder.Hold(step)));
	}

	private static List<RankCommand> release(long step) {
		return List.of(new RankCommand(GroupView.HOLD_RANK, new RankOrder.Go(step)));
	}

	private List<RankCommand> commit(long version, long step) {
		this.committedVersion = version;
		this.committedHoldStep = step;
		this.pending = null;
		return release(step);
	}

	/**
	 * Returns the order that follows from the results of the last round without new
	 * statuses, so that the group is not held for another round.
	 * @return the go once the leader's rank, the last one, has confirmed that it is
	 * armed, otherwise none
	 */
	public List<RankCommand> followUpOrders() {
		boolean allArmed = this.pending != null && !this.pending.aborted && this.guards.contains(Guard.LEADER_LAST)
				&& this.pending.armedRanks.contains(GroupView.LEADER_RANK);
		return allArmed ? commit(this.pending.version, this.pending.step) : List.of();
	}

	// A switch may be committed only if no order to abort it was ever sent, since a
	// delayed one could still reach one rank. An earlier lease holder may have sent such
	// orders.
	private boolean mayCommit(RankStatus.Armed armed, boolean ownHold) {
		return armed.version() == this.committedVersion || (ownHold && armed.version() == this.pending.version);
	}

	// Returns the ranks that are armed for the pending switch. The status of a rank on
	// another instance may be older than its answer to an order.
	private Set<Integer> armedRanks(GroupView view) {
		RankStatus.Armed target = new RankStatus.Armed(this.pending.version, this.pending.step);
		Set<Integer> armed = new HashSet<>(this.pending.armedRanks);
		for (int rank = 0; rank < view.size(); rank++) {
			if (view.rank(rank).armed().filter(target::equals).isPresent()) {
				armed.add(rank);
			}
		}
		return armed;
	}

	private boolean canArm(GroupView view, Set<Integer> armed) {
		for (int rank = 0; rank < view.size(); rank++) {
			RankStatus status = view.rank(rank);
			if (!armed.contains(rank) && !hasPrepared(status, this.pending.version)) {
				return false;
			}
		}
		return true;
	}

	private List<RankCommand> arm(GroupView view, long step, Set<Integer> armed) {
		this.pending.armsSent = true;
		RankOrder.Arm order = new RankOrder.Arm(this.pending.version, step);
		long othersArmed = armed.stream().filter((rank) -> rank != GroupView.LEADER_RANK).count();
		boolean leaderToo = !this.guards.contains(Guard.LEADER_LAST) || othersArmed == view.size() - 1;
		List<RankCommand> commands = new ArrayList<>();
		for (int rank = leaderToo ? GroupView.LEADER_RANK : GroupView.LEADER_RANK + 1; rank < view.size(); rank++) {
			if (!armed.contains(rank)) {
				commands.add(new RankCommand(rank, order));
			}
		}
		return commands;
	}

	// Ensures that no rank is armed or can become armed by an arm in flight, then
	// releases the group.
	private List<RankCommand> rollBack(GroupView view, long held) {
		if (this.guards.contains(Guard.LEADER_EXCLUDED) && !view.complete() && !excludesLeader(view)) {
			return excludeLeader(view);
		}
		int others = GroupView.LEADER_RANK + 1;
		List<RankCommand> commands = new ArrayList<>();
		if (view.complete()) {
			commands.addAll(undo(view, GroupView.LEADER_RANK, others));
		}
		if (commands.isEmpty() || !this.guards.contains(Guard.LEADER_FIRST)) {
			commands.addAll(undo(view, others, view.size()));
		}
		if (!commands.isEmpty()) {
			return commands;
		}
		if (this.pending != null && this.pending.armsSent) {
			this.pending = null;
		}
		return release(held);
	}

	// The leader's rank is armed only while all others are. It is not armed, and will not
	// be, once another rank is not armed and has the prepared map replaced.
	private boolean excludesLeader(GroupView view) {
		for (int rank = GroupView.LEADER_RANK + 1; rank < view.size(); rank++) {
			RankStatus status = view.rank(rank);
			if (this.neutralRanks.contains(rank) || (status.armed().isEmpty() && hasNeutralPrepared(status))) {
				return true;
			}
		}
		return false;
	}

	private boolean hasNeutralPrepared(RankStatus status) {
		return status.prepared().isPresent() && this.neutralVersions.contains(status.prepared().getAsLong());
	}

	private List<RankCommand> excludeLeader(GroupView view) {
		List<RankCommand> commands = new ArrayList<>();
		long neutral = neutralVersion();
		for (int rank = GroupView.LEADER_RANK + 1; rank < view.size(); rank++) {
			if (view.rank(rank).armed().isEmpty()) {
				commands.add(new RankCommand(rank, new RankOrder.Prepare(neutral, this.inUse)));
			}
		}
		return commands;
	}

	// Returns the orders after which none of the given ranks is armed or can become
	// armed.
	private List<RankCommand> undo(GroupView view, int first, int end) {
		List<RankCommand> commands = new ArrayList<>();
		long pendingVersion = (this.pending != null) ? this.pending.version : -1;
		boolean armsSent = this.pending == null || this.pending.armsSent;
		long neutral = -1;
		for (int rank = first; rank < end; rank++) {
			RankStatus status = view.rank(rank);
			if (this.neutralRanks.contains(rank)) {
				continue;
			}
			if (status.armed().isPresent() && !isDisarmed(rank, status.armed().get().version())) {
				commands.add(new RankCommand(rank, new RankOrder.Disarm(status.armed().get().version())));
			}
			else if (this.guards.contains(Guard.REPLACE_PREPARED) && mayBeArmedLate(status, pendingVersion, armsSent)) {
				neutral = (neutral < 0) ? neutralVersion() : neutral;
				commands.add(new RankCommand(rank, new RankOrder.Prepare(neutral, this.inUse)));
			}
		}
		return commands;
	}

	private boolean isDisarmed(int rank, long version) {
		return this.disarmedVersions.getOrDefault(rank, -1L) == version;
	}

	private boolean mayBeArmedLate(RankStatus status, long pendingVersion, boolean armsSent) {
		if (status.armed().isPresent()) {
			return true;
		}
		if (status.prepared().isEmpty() || hasNeutralPrepared(status)) {
			return false;
		}
		return armsSent || status.prepared().getAsLong() != pendingVersion;
	}

	private long neutralVersion() {
		long version = nextVersion();
		this.neutralVersions.add(version);
		return version;
	}

	// Armed but not held: the switch was committed and its pass has not started yet. If
	// the ranks are not all armed for the same switch, the group is held again.
	private List<RankCommand> whileArmed(GroupView view) {
		if (view.armedByAll().isPresent()) {
			return List.of();
		}
		return hold(view.step() + 1);
	}

	/**
	 * Records the result of an order.
	 * @param command the order and its rank
	 * @param result the result
	 */
	public void recordResult(RankCommand command, OrderResult result) {
		if (command.rank() == GroupView.HOLD_RANK && result.accepted()) {
			this.fenced = true;
		}
		recordHold(command.order(), result);
		recordAbort(command, result);
		recordArm(command, result);
		if (this.pending == null || !(command.order() instanceof RankOrder.Prepare prepare)
				|| prepare.version() != this.pending.version) {
			return;
		}
		if (result == OrderResult.UNKNOWN) {
			this.pending.unansweredRanks.add(command.rank());
		}
		else if (result.accepted() || this.pending.unansweredRanks.contains(command.rank())) {
			// The refusal may be caused by an earlier copy of the order that was carried
			// out without an answer.
			this.pending.acceptedRanks.add(command.rank());
		}
		else if (!this.pending.holdSent) {
			this.pending = null;
		}
	}

	private void recordHold(RankOrder order, OrderResult result) {
		if (order instanceof RankOrder.Hold hold && result == OrderResult.ACCEPTED) {
			this.acceptedHold = OptionalLong.of(hold.step());
		}
		else if (order instanceof RankOrder.Go && result != OrderResult.UNKNOWN) {
			this.acceptedHold = OptionalLong.empty();
		}
	}

	private void recordArm(RankCommand command, OrderResult result) {
		boolean current = this.pending != null && command.order() instanceof RankOrder.Arm arm
				&& arm.version() == this.pending.version && arm.step() == this.pending.step;
		if (current && result == OrderResult.ACCEPTED) {
			this.pending.armedRanks.add(command.rank());
		}
	}

	private void recordAbort(RankCommand command, OrderResult result) {
		if (command.order() instanceof RankOrder.Disarm disarm && result == OrderResult.ACCEPTED) {
			this.disarmedVersions.put(command.rank(), disarm.version());
		}
		else if (command.order() instanceof RankOrder.Prepare prepare
				&& this.neutralVersions.contains(prepare.version())) {
			if (result == OrderResult.ACCEPTED) {
				this.neutralRanks.add(command.rank());
			}
			// A delayed arm may have armed the rank again.
			this.disarmedVersions.remove(command.rank());
		}
	}

	/**
	 * The rules of a switch, each of which tests can disable. All but
	 * {@link #PREPARE_ALL} are needed for safety.
	 */
	enum Guard {

		/**
		 * The group is held only once all ranks have loaded the weights, which keeps the
		 * hold short.
		 */
		PREPARE_ALL,

		/** The prepared map is replaced before the group is released after an abort. */
		REPLACE_PREPARED,

		/** A committed switch is never aborted. */
		NEVER_ABORT_COMMITTED,

		/** An aborted switch is never committed. */
		NEVER_COMMIT_ABORTED,

		/**
		 * A hold of an earlier lease holder is taken over only once the rank that holds
		 * the group refuses orders of that holder.
		 */
		FENCE_FIRST,

		/**
		 * No two switches hold the group before the same pass, so that a delayed go of
		 * one does not release the group for the other.
		 */
		NEVER_REUSE_HOLD,

		/** The leader's rank is armed only once all others are seen armed. */
		LEADER_LAST,

		/** An abort disarms the leader's rank before all others. */
		LEADER_FIRST,

		/**
		 * A switch is aborted without the status of the leader's rank only once another
		 * rank can no longer be armed.
		 */
		LEADER_EXCLUDED;

		static Set<Guard> all() {
			return EnumSet.allOf(Guard.class);
		}

		static Set<Guard> allBut(Guard disabled) {
			return EnumSet.complementOf(EnumSet.of(disabled));
		}

	}

	/**
	 * A proposed map and the progress of the switch to it.
	 */
	private static final class PendingSwitch {

		private final long version;

		private final int[][][] experts;

		private final Set<Integer> acceptedRanks = new HashSet<>();

		private final Set<Integer> unansweredRanks = new HashSet<>();

		/** The ranks that have accepted the arm for the present hold. */
		private final Set<Integer> armedRanks = new HashSet<>();

		private int prepareRounds;

		private int armRounds;

		private long step;

		private boolean holdSent;

		private boolean armsSent;

		private boolean aborted;

		private PendingSwitch(long version, int[][][] experts) {
			this.version = version;
			this.experts = experts;
		}

		// Returns a switch to the same map with a new hold, for when the hold arrived too
		// late for its pass.
		private PendingSwitch retry() {
			PendingSwitch retry = new PendingSwitch(this.version, this.experts);
			retry.acceptedRanks.addAll(this.acceptedRanks);
			retry.prepareRounds = this.prepareRounds;
			return retry;
		}

	}

}
