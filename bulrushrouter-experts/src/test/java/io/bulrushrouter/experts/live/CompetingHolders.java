package io.bulrushrouter.experts.live;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.List;
import java.util.Optional;
import java.util.Set;

import io.bulrushrouter.experts.live.GroupSwitch.Guard;

/**
 * Simulates a group with two processes that send orders: one balances it, and the other
 * releases it when it considers the first one failed. Either may pause between any two of
 * its status requests and orders and continue later with outdated knowledge. The status
 * of ranks on other instances may be outdated as well, the store that issues their
 * fencing tokens may be restored from a copy, and the one of the balancing process's rank
 * may be missing for the other process.
 */
final class CompetingHolders {

	/** The number of actions within which a single process must release the group. */
	private static final int RECOVERY_ACTIONS = 400;

	/** The maximum number of writes that a restore of the store takes back. */
	private static final int MAX_LOST_WRITES = 2;

	private final SimulatedRanks ranks;

	private final Choices choices;

	private final Set<Guard> guards;

	private final SimulatedTokens tokens;

	private Holder balancer;

	private Optional<Holder> recovery = Optional.empty();

	private boolean recoveryActs;

	private boolean leaderSuspended;

	private Optional<String> observedViolation = Optional.empty();

	CompetingHolders(int size, Choices choices, Set<Guard> guards) {
		this(size, choices, guards, SimulatedTokens.ofEraAndRevision());
	}

	CompetingHolders(int size, Choices choices, Set<Guard> guards, SimulatedTokens tokens) {
		this.tokens = tokens;
		this.ranks = new SimulatedRanks(size);
		this.choices = choices;
		this.guards = guards;
		this.balancer = new Holder(true);
	}

	/**
	 * Runs both processes, then stops the balancing one, so that the other has to release
	 * the group.
	 * @param actions the number of status requests and orders of both processes
	 * @return a description of the violation, or empty
	 */
	Optional<String> run(int actions) {
		for (int action = 0; action < actions && this.observedViolation.isEmpty(); action++) {
			this.recoveryActs ^= this.choices.next(2) == 1;
			actor().act(this.choices.next(SimulatedRanks.DELIVERY_OUTCOMES));
			interleave();
		}
		return this.observedViolation.or(this::resumesWithoutBalancer);
	}

	private Holder actor() {
		if (!this.recoveryActs) {
			return this.balancer;
		}
		if (this.recovery.isEmpty()) {
			this.recovery = Optional.of(new Holder(false));
		}
		return this.recovery.get();
	}

	private void interleave() {
		switch (this.choices.next(5)) {
			case 0 -> runPass();
			case 2 -> {
				if (this.ranks.delayed() > 0) {
					this.ranks.executeDelayed(this.choices.next(this.ranks.delayed()));
				}
			}
			case 3 -> this.ranks.reopen();
			case 4 -> this.tokens.restore(1 + this.choices.next(MAX_LOST_WRITES));
			default -> {
				// No event.
			}
		}
	}

	private void runPass() {
		this.observedViolation = this.observedViolation.or(this.ranks::runPass);
	}

	// The instance of the balancing process either ends, which leaves its rank reachable,
	// or is suspended. Then the group may stay held if all other ranks are armed.
	private Optional<String> resumesWithoutBalancer() {
		this.leaderSuspended = this.choices.next(2) == 1;
		Holder last = new Holder(false);
		for (int action = 0; action < RECOVERY_ACTIONS && this.observedViolation.isEmpty(); action++) {
			// A holder that resigned because of an outdated status is replaced by a new
			// one.
			last = last.resigned ? new Holder(false) : last;
			last.act(0);
			runPass();
		}
		return this.observedViolation
			.or(() -> (this.ranks.held() && !(this.leaderSuspended && this.ranks.othersArmed()))
					? Optional.of("the group is still held") : Optional.empty());
	}

	/**
	 * A process that requests the status of one rank after the other, decides, and sends
	 * its orders one after the other.
	 */
	private final class Holder {

		private final boolean proposes;

		private final List<RankStatus> statuses = new ArrayList<>();

		private final Deque<RankCommand> commands = new ArrayDeque<>();

		private GroupSwitch groupSwitch;

		private long fence;

		private long epoch;

		private boolean resigned;

		private Holder(boolean proposes) {
			this.proposes = proposes;
			acquireToken();
		}

		private void acquireToken() {
			this.fence = CompetingHolders.this.tokens.acquire();
			this.groupSwitch = GroupSwitch.ofGuards(1000 * this.fence, CompetingHolders.this.guards);
			this.statuses.clear();
			this.commands.clear();
		}

		private void act(int outcome) {
			if (!this.commands.isEmpty()) {
				send(this.commands.poll(), outcome);
				return;
			}
			this.statuses.add(observe(this.statuses.size()));
			if (this.statuses.size() == CompetingHolders.this.ranks.size()) {
				view().ifPresent(this::decide);
				this.statuses.clear();
			}
		}

		private Optional<GroupView> view() {
			RankStatus own = this.statuses.get(this.proposes ? 0 : 1);
			boolean leaderMissing = !this.proposes
					&& (CompetingHolders.this.leaderSuspended || CompetingHolders.this.choices.next(2) == 1);
			return leaderMissing ? GroupView.ofAllButLeader(own, this.statuses.subList(1, this.statuses.size()))
					: GroupView.of(own, this.statuses);
		}

		// The status of the rank on the same instance is current; others may be outdated.
		private RankStatus observe(int rank) {
			boolean own = rank == (this.proposes ? 0 : 1);
			int age = own ? 0 : CompetingHolders.this.choices.next(SimulatedRanks.MAX_STATUS_AGE + 1);
			return CompetingHolders.this.ranks.pastStatus(rank, age);
		}

		private void send(RankCommand command, int outcome) {
			SimulatedRanks.Order order = new SimulatedRanks.Order(command, this.epoch, this.fence);
			OrderResult result = CompetingHolders.this.ranks.send(order, outcome);
			this.groupSwitch.recordResult(command, result);
			if (result == OrderResult.SUPERSEDED) {
				resign();
			}
			else if (this.commands.isEmpty()) {
				this.commands.addAll(this.groupSwitch.followUpOrders());
			}
		}

		private void decide(GroupView view) {
			this.epoch = view.epoch();
			if (!this.proposes && this.groupSwitch.settled(view)) {
				resign();
				return;
			}
			if (this.proposes && this.groupSwitch.idle()) {
				this.groupSwitch.propose(SimulatedGroup.EXPERTS);
			}
			this.commands.addAll(this.groupSwitch.nextOrders(view, SimulatedGroup.EXPERTS));
		}

		// The balancing process acquires the lease again; the other ends until it is
		// needed.
		private void resign() {
			this.resigned = true;
			if (this.proposes) {
				acquireToken();
			}
			else if (CompetingHolders.this.recovery.filter((holder) -> holder == this).isPresent()) {
				CompetingHolders.this.recovery = Optional.empty();
			}
		}

	}

}
