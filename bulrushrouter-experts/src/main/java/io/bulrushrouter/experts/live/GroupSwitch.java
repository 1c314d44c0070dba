package io.bulrushrouter.experts.live;

import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.Set;

/**
 * Decides the next orders of a switch from one map to the next, so that no pass runs on
 * two maps. Works by rounds: the ranks are asked for their status, the orders that follow
 * from it are sent, their answers are awaited for a while, and the next round begins.
 * What is not answered may take effect much later; the decisions hold whenever it does.
 * <p>
 * The order is: prepare all; hold the group before a pass ahead; arm all for that pass;
 * once all are seen armed, go. Only while the group is held can ranks differ in what they
 * are armed for. If the arming is given up, armed ranks are disarmed and the prepared map
 * is replaced by the one in use, so that a late arm finds nothing to switch to, before
 * the group goes on. Versions and passes are never used twice.
 */
public final class GroupSwitch {

	/**
	 * Passes between the last one begun and the one before which the group is held:
	 * asking and arming all ranks takes about one pass.
	 */
	static final int PASSES_AHEAD = 2;

	/**
	 * The furthest that a pass to hold is ahead of the last one begun: passes of holds
	 * are never used twice, and those of an idle group add up.
	 */
	static final int MAX_PASSES_AHEAD = 4 * PASSES_AHEAD;

	/** Rounds in which ranks that did not answer are armed again. */
	private static final int MAX_ARM_ROUNDS = 6;

	/** Rounds in which ranks that are not prepared are waited for. */
	private static final int MAX_PREPARE_ROUNDS = 40;

	private final long versionBase;

	private final Guards guards;

	/** Versions of maps that equal the one in use; no arm for them was ever sent. */
	private final Set<Long> neutralVersions = new HashSet<>();

	private long versionsUsed;

	private long epoch = -1;

	private long highestHoldStep;

	/** The last version that the group was let go to switch to. */
	private long committedVersion = -1;

	/** The pass that was held while all ranks were made to switch to it. */
	private long committedHoldStep = -1;

	/**
	 * Whether rank 0 has accepted an order of this holder in the epoch, and so refuses
	 * orders of earlier holders that are still on their way.
	 */
	private boolean fenced;

	private int[][][] inUse;

	private PendingSwitch pending;

	private GroupSwitch(long versionBase, Guards guards) {
		this.versionBase = versionBase;
		this.guards = guards;
	}

	/**
	 * Returns the switch of a group.
	 * @param versionBase a number above all versions that any earlier holder of this duty
	 * has used
	 * @return the switch
	 */
	public static GroupSwitch of(long versionBase) {
		return new GroupSwitch(versionBase, Guards.ALL);
	}

	/**
	 * Returns a switch that lacks some of its guards, to show what they are for.
	 * @param versionBase a number above all versions used before
	 * @param guards the guards that it has
	 * @return the switch
	 */
	static GroupSwitch ofGuards(long versionBase, Guards guards) {
		return new GroupSwitch(versionBase, guards);
	}

	/**
	 * Tells whether a new map may be proposed.
	 * @return whether no switch is under way
	 */
	public boolean idle() {
		return this.pending == null;
	}

	/**
	 * Tells whether nothing is left to do for the group to go on if nobody decides for it
	 * any more.
	 * @param view the ranks' statuses
	 * @return whether no hold of this switch is standing or on its way, and either all
	 * ranks make the same switch or none does
	 */
	public boolean settled(GroupView view) {
		boolean holding = view.rank(0).held().isPresent() || (this.pending != null && this.pending.holdSent);
		return !holding && (!view.armedByAny() || view.armedByAll().isPresent());
	}

	/**
	 * Proposes a map.
	 * @param experts the experts by set and rank
	 * @return the version that the map gets
	 */
	public long propose(int[][][] experts) {
		this.pending = new PendingSwitch(nextVersion(), experts);
		return this.pending.version;
	}

	private long nextVersion() {
		return this.versionBase + ++this.versionsUsed;
	}

	/**
	 * Decides the orders of a round.
	 * @param view the ranks' statuses
	 * @param experts the map in use, by set and rank
	 * @return the orders
	 */
	public List<RankCommand> nextOrders(GroupView view, int[][][] experts) {
		this.inUse = experts;
		if (view.epoch() != this.epoch) {
			startEpoch(view);
		}
		OptionalLong held = view.rank(0).held();
		if (held.isPresent()) {
			this.highestHoldStep = Math.max(this.highestHoldStep, held.getAsLong());
			return whileHeld(view, held.getAsLong());
		}
		if (view.armedByAny()) {
			return whileArmed(view);
		}
		if (this.pending == null) {
			return List.of();
		}
		return prepareThenHold(view);
	}

	// Forgets what was under way in another epoch. An earlier holder of this duty may
	// have used passes as far ahead as MOST_PASSES_AHEAD of a pass that had begun.
	private void startEpoch(GroupView view) {
		this.epoch = view.epoch();
		this.pending = null;
		this.committedVersion = -1;
		this.committedHoldStep = -1;
		this.fenced = false;
		this.highestHoldStep = view.step() + MAX_PASSES_AHEAD;
	}

	private List<RankCommand> prepareThenHold(GroupView view) {
		if (this.pending.holdSent && view.step() >= this.pending.step) {
			this.pending = this.pending.retry();
		}
		if (this.guards.prepareAll() && !view.preparedByAll(this.pending.version)) {
			return prepare(view);
		}
		long step = Math.max(view.step() + PASSES_AHEAD, this.highestHoldStep + 1);
		if (step > view.step() + 2 * MAX_PASSES_AHEAD) {
			return List.of();
		}
		this.pending.step = step;
		this.highestHoldStep = this.pending.step;
		this.pending.holdSent = true;
		return List.of(new RankCommand(0, new RankOrder.Hold(this.pending.step)));
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
		if (this.guards.fenceFirst() && !this.fenced) {
			// An earlier holder's order to go on may be on its way: it must be refused
			// from now on, or have taken effect, before any rank is disarmed.
			return List.of(new RankCommand(0, new RankOrder.Hold(held)));
		}
		if (this.guards.neverAbortCommitted() && held == this.committedHoldStep) {
			// All ranks are armed, whatever an older status says, and the order to go on
			// may be carried out at any time.
			return List.of(new RankCommand(0, new RankOrder.Go(held)));
		}
		boolean ownHold = this.pending != null && this.pending.holdSent && this.pending.step == held
				&& !(this.guards.neverCommitAborted() && this.pending.aborted);
		Optional<RankStatus.Armed> armedForAll = view.armedByAll();
		if (armedForAll.isPresent() && mayCommit(armedForAll.get(), ownHold)) {
			this.committedVersion = armedForAll.get().version();
			this.committedHoldStep = held;
			this.pending = null;
			return List.of(new RankCommand(0, new RankOrder.Go(held)));
		}
		if (ownHold) {
			if (this.pending.armRounds++ < MAX_ARM_ROUNDS && canArm(view)) {
				return arm(view, held);
			}
			this.pending.aborted = true;
		}
		return rollBack(view, held);
	}

	// A switch is let go only if no order to give it up was ever sent, since that could
	// still reach one rank. An earlier holder of this duty may have sent such orders.
	private boolean mayCommit(RankStatus.Armed armed, boolean ownHold) {
		return armed.version() == this.committedVersion || (ownHold && armed.version() == this.pending.version);
	}

	private boolean canArm(GroupView view) {
		for (int rank = 0; rank < view.size(); rank++) {
			RankStatus status = view.rank(rank);
			boolean armed = status.armed().filter((target) -> target.version() == this.pending.version).isPresent();
			if (!armed && !hasPrepared(status, this.pending.version)) {
				return false;
			}
		}
		return true;
	}

	private List<RankCommand> arm(GroupView view, long step) {
		this.pending.armsSent = true;
		List<RankCommand> commands = new ArrayList<>();
		for (int rank = 0; rank < view.size(); rank++) {
			if (view.rank(rank).armed().isEmpty()) {
				commands.add(new RankCommand(rank, new RankOrder.Arm(this.pending.version, step)));
			}
		}
		return commands;
	}

	// Makes sure that no rank is armed nor can become so by an arm that is still on its
	// way, then lets the group go on.
	private List<RankCommand> rollBack(GroupView view, long held) {
		List<RankCommand> commands = new ArrayList<>();
		long pendingVersion = (this.pending != null) ? this.pending.version : -1;
		boolean armsSent = this.pending == null || this.pending.armsSent;
		long neutral = -1;
		for (int rank = 0; rank < view.size(); rank++) {
			RankStatus status = view.rank(rank);
			if (status.armed().isPresent()) {
				commands.add(new RankCommand(rank, new RankOrder.Disarm(status.armed().get().version())));
			}
			else if (this.guards.replacePrepared() && mayBeArmedLate(status, pendingVersion, armsSent)) {
				neutral = (neutral < 0) ? neutralVersion() : neutral;
				commands.add(new RankCommand(rank, new RankOrder.Prepare(neutral, this.inUse)));
			}
		}
		if (!commands.isEmpty()) {
			return commands;
		}
		if (armsSent) {
			this.pending = null;
		}
		return List.of(new RankCommand(0, new RankOrder.Go(held)));
	}

	private boolean mayBeArmedLate(RankStatus status, long pendingVersion, boolean armsSent) {
		if (status.prepared().isEmpty() || this.neutralVersions.contains(status.prepared().getAsLong())) {
			return false;
		}
		return armsSent || status.prepared().getAsLong() != pendingVersion;
	}

	private long neutralVersion() {
		long version = nextVersion();
		this.neutralVersions.add(version);
		return version;
	}

	// Not held and armed: the group was let go after all were seen armed, and the pass
	// has not begun yet. If ranks differ all the same, the group is stopped.
	private List<RankCommand> whileArmed(GroupView view) {
		if (view.armedByAll().isPresent()) {
			return List.of();
		}
		long step = view.step() + 1;
		return List.of(new RankCommand(0, new RankOrder.Hold(step)));
	}

	/**
	 * Notes what came of an order.
	 * @param command the order
	 * @param result what came of it
	 */
	public void recordResult(RankCommand command, OrderResult result) {
		if (command.rank() == 0 && result == OrderResult.ACCEPTED) {
			this.fenced = true;
		}
		if (this.pending == null || !(command.order() instanceof RankOrder.Prepare prepare)
				|| prepare.version() != this.pending.version) {
			return;
		}
		if (result == OrderResult.UNKNOWN) {
			this.pending.unansweredRanks.add(command.rank());
		}
		else if (result == OrderResult.ACCEPTED || this.pending.unansweredRanks.contains(command.rank())) {
			// An order that was sent before without an answer may be what it is refused
			// for.
			this.pending.acceptedRanks.add(command.rank());
		}
		else if (!this.pending.holdSent) {
			this.pending = null;
		}
	}

	/**
	 * Which guards a switch has; taking one out is for tests.
	 *
	 * @param prepareAll whether the group is held only once all ranks have the weights
	 * @param replacePrepared whether the prepared map is replaced before a given-up
	 * switch is let go
	 * @param neverAbortCommitted whether a switch that was let go is never given up
	 * @param neverCommitAborted whether a switch that was given up is never let go
	 * @param fenceFirst whether a hold that is found is taken over only once rank 0
	 * refuses orders of earlier holders
	 */
	record Guards(boolean prepareAll, boolean replacePrepared, boolean neverAbortCommitted, boolean neverCommitAborted,
			boolean fenceFirst) {

		static final Guards ALL = new Guards(true, true, true, true, true);

	}

	/**
	 * A map on its way into use.
	 */
	private static final class PendingSwitch {

		private final long version;

		private final int[][][] experts;

		private final Set<Integer> acceptedRanks = new HashSet<>();

		private final Set<Integer> unansweredRanks = new HashSet<>();

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

		// The hold came too late for its pass: the same map, held before a later pass.
		private PendingSwitch retry() {
			PendingSwitch retry = new PendingSwitch(this.version, this.experts);
			retry.acceptedRanks.addAll(this.acceptedRanks);
			retry.prepareRounds = this.prepareRounds;
			return retry;
		}

	}

}
