package io.bulrushrouter.experts.live;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;

/**
 * A group with one holder of the duty at a time: orders may go unanswered, be carried out
 * later or never; passes go on meanwhile; the holder may be replaced; the group may break
 * and open anew.
 */
final class ModelGroup {

	static final int[][][] EXPERTS = { { { 0 }, { 1 }, { 2 } } };

	private final Choices choices;

	private final GroupSwitch.Guards guards;

	private final ModelRanks ranks;

	private GroupSwitch decisions;

	private long fence = 1;

	private Optional<String> broken = Optional.empty();

	ModelGroup(int size, Choices choices, GroupSwitch.Guards guards) {
		this.ranks = new ModelRanks(size);
		this.choices = choices;
		this.guards = guards;
		this.decisions = newDecisions();
	}

	private GroupSwitch newDecisions() {
		return GroupSwitch.ofGuards(1000 * ++this.fence, this.guards);
	}

	/**
	 * Runs some rounds.
	 * @param rounds the number
	 * @return what is wrong, or empty
	 */
	Optional<String> run(int rounds) {
		for (int round = 0; round < rounds; round++) {
			Optional<String> violation = between();
			if (violation.isPresent() || this.broken.isPresent()) {
				return violation.or(() -> this.broken);
			}
			if (this.decisions.idle()) {
				this.decisions.propose(EXPERTS);
			}
			Optional<GroupView> view = view();
			if (view.isEmpty()) {
				continue;
			}
			for (RankCommand command : this.decisions.next(view.get(), EXPERTS)) {
				this.decisions.answered(command, send(command));
				violation = between();
				if (violation.isPresent()) {
					return violation;
				}
			}
		}
		return this.broken;
	}

	int switches() {
		return this.ranks.switches();
	}

	/**
	 * Asks the ranks one after the other, while the group goes on.
	 * @return the view, or empty if the group opened anew meanwhile
	 */
	private Optional<GroupView> view() {
		List<RankStatus> statuses = new ArrayList<>();
		for (int rank = 0; rank < this.ranks.size(); rank++) {
			statuses.add(this.ranks.status(rank));
			if (this.choices.next(3) == 1) {
				this.broken = this.broken.or(this.ranks::pass);
			}
			else if (this.ranks.late() > 0 && this.choices.next(2) == 1) {
				this.ranks.carryOutLate(this.ranks.late() - 1);
			}
		}
		return GroupView.of(statuses.get(0), statuses);
	}

	private OrderResult send(RankCommand command) {
		return this.ranks.send(new ModelRanks.Order(command, this.ranks.epoch(), this.fence),
				this.choices.next(ModelRanks.FATES));
	}

	// What may happen while nothing is decided.
	private Optional<String> between() {
		switch (this.choices.next(5)) {
			case 0 -> {
				return this.ranks.pass();
			}
			case 1 -> {
				return Optional.empty();
			}
			case 2 -> {
				if (this.ranks.late() > 0) {
					this.ranks.carryOutLate(this.choices.next(this.ranks.late()));
				}
			}
			case 3 -> {
				this.decisions = newDecisions();
			}
			default -> {
				this.ranks.openAnew();
			}
		}
		return Optional.empty();
	}

}
