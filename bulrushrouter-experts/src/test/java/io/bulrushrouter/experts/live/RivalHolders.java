package io.bulrushrouter.experts.live;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.List;
import java.util.Optional;

/**
 * A group with two processes that give orders: one that balances it, and one that lets it
 * go on when it takes the first for dead. Either may stand still between any two of its
 * questions and orders, and go on later with what it knew; what it learns of ranks on
 * other instances may be old.
 */
final class RivalHolders {

	/** Enough for any process that acts alone to let the group go on. */
	private static final int MOVES_ALONE = 400;

	private final ModelRanks ranks;

	private final Choices choices;

	private final GroupSwitch.Guards guards;

	private long lastFence;

	private Holder balancing;

	private Optional<Holder> second = Optional.empty();

	private boolean secondActs;

	private Optional<String> broken = Optional.empty();

	RivalHolders(int size, Choices choices, GroupSwitch.Guards guards) {
		this.ranks = new ModelRanks(size);
		this.choices = choices;
		this.guards = guards;
		this.balancing = new Holder(true);
	}

	/**
	 * Runs both processes, then ends the balancing one, so that the other has to let the
	 * group go on.
	 * @param moves the questions and orders of both
	 * @return what is wrong, or empty
	 */
	Optional<String> run(int moves) {
		for (int move = 0; move < moves && this.broken.isEmpty(); move++) {
			this.secondActs ^= this.choices.next(2) == 1;
			actor().move(this.choices.next(ModelRanks.FATES));
			meanwhile();
		}
		return this.broken.or(this::goesOnWithoutTheBalancing);
	}

	private Holder actor() {
		if (!this.secondActs) {
			return this.balancing;
		}
		if (this.second.isEmpty()) {
			this.second = Optional.of(new Holder(false));
		}
		return this.second.get();
	}

	private void meanwhile() {
		switch (this.choices.next(4)) {
			case 0 -> pass();
			case 2 -> {
				if (this.ranks.late() > 0) {
					this.ranks.carryOutLate(this.choices.next(this.ranks.late()));
				}
			}
			case 3 -> this.ranks.openAnew();
			default -> {
				// Nothing happens.
			}
		}
	}

	private void pass() {
		this.broken = this.broken.or(this.ranks::pass);
	}

	private Optional<String> goesOnWithoutTheBalancing() {
		Holder last = new Holder(false);
		for (int move = 0; move < MOVES_ALONE && this.broken.isEmpty(); move++) {
			// One that saw an old status and ended looks again.
			last = last.done ? new Holder(false) : last;
			last.move(0);
			pass();
		}
		return this.broken.or(() -> this.ranks.held() ? Optional.of("the group stands") : Optional.empty());
	}

	/**
	 * One process: asks the ranks one after the other, decides, and gives its orders one
	 * after the other.
	 */
	private final class Holder {

		private final boolean proposes;

		private final List<RankStatus> statuses = new ArrayList<>();

		private final Deque<RankCommand> commands = new ArrayDeque<>();

		private GroupSwitch decisions;

		private long fence;

		private long epoch;

		private boolean done;

		private Holder(boolean proposes) {
			this.proposes = proposes;
			takeToken();
		}

		private void takeToken() {
			this.fence = ++RivalHolders.this.lastFence;
			this.decisions = GroupSwitch.ofGuards(1000 * this.fence, RivalHolders.this.guards);
			this.statuses.clear();
			this.commands.clear();
		}

		private void move(int fate) {
			if (!this.commands.isEmpty()) {
				order(this.commands.poll(), fate);
				return;
			}
			this.statuses.add(see(this.statuses.size()));
			if (this.statuses.size() == RivalHolders.this.ranks.size()) {
				GroupView.of(this.statuses.get(this.proposes ? 0 : 1), this.statuses).ifPresent(this::decide);
				this.statuses.clear();
			}
		}

		// The rank beside a process is seen as it is; others may be seen as they were.
		private RankStatus see(int rank) {
			boolean own = rank == (this.proposes ? 0 : 1);
			int age = own ? 0 : RivalHolders.this.choices.next(ModelRanks.OLDEST + 1);
			return RivalHolders.this.ranks.oldStatus(rank, age);
		}

		private void order(RankCommand command, int fate) {
			ModelRanks.Order order = new ModelRanks.Order(command, this.epoch, this.fence);
			OrderResult result = RivalHolders.this.ranks.send(order, fate);
			this.decisions.answered(command, result);
			if (result == OrderResult.SUPERSEDED) {
				giveUp();
			}
		}

		private void decide(GroupView view) {
			this.epoch = view.epoch();
			if (!this.proposes && this.decisions.settled(view)) {
				giveUp();
				return;
			}
			if (this.proposes && this.decisions.idle()) {
				this.decisions.propose(ModelGroup.EXPERTS);
			}
			this.commands.addAll(this.decisions.next(view, ModelGroup.EXPERTS));
		}

		// The balancing process takes the duty anew; the other waits until it is needed.
		private void giveUp() {
			this.done = true;
			if (this.proposes) {
				takeToken();
			}
			else if (RivalHolders.this.second.filter((holder) -> holder == this).isPresent()) {
				RivalHolders.this.second = Optional.empty();
			}
		}

	}

}
