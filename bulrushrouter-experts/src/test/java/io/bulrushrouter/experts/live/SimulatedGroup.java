package io.bulrushrouter.experts.live;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.Set;

import io.bulrushrouter.experts.live.GroupSwitch.Guard;

/**
 * Simulates a group with one lease holder at a time. Orders may stay unanswered, take
 * effect late or be lost while passes continue; the holder may be replaced; the group may
 * fail and reopen in a new epoch.
 */
final class SimulatedGroup {

	static final int[][][] EXPERTS = { { { 0 }, { 1 }, { 2 } } };

	private final Choices choices;

	private final Set<Guard> guards;

	private final SimulatedRanks ranks;

	private GroupSwitch groupSwitch;

	private long fence = 1;

	private Optional<String> observedViolation = Optional.empty();

	SimulatedGroup(int size, Choices choices, Set<Guard> guards) {
		this.ranks = new SimulatedRanks(size);
		this.choices = choices;
		this.guards = guards;
		this.groupSwitch = newGroupSwitch();
	}

	private GroupSwitch newGroupSwitch() {
		return GroupSwitch.ofGuards(1000 * ++this.fence, this.guards);
	}

	/**
	 * Runs a number of rounds.
	 * @param rounds the number of rounds
	 * @return a description of the violation, or empty
	 */
	Optional<String> run(int rounds) {
		for (int round = 0; round < rounds; round++) {
			Optional<String> violation = interleave();
			if (violation.isPresent() || this.observedViolation.isPresent()) {
				return violation.or(() -> this.observedViolation);
			}
			if (this.groupSwitch.idle()) {
				this.groupSwitch.propose(EXPERTS);
			}
			Optional<GroupView> view = collectView();
			if (view.isEmpty()) {
				continue;
			}
			violation = sendAll(this.groupSwitch.nextOrders(view.get(), EXPERTS));
			if (violation.isEmpty()) {
				violation = sendAll(this.groupSwitch.followUpOrders());
			}
			if (violation.isPresent()) {
				return violation;
			}
		}
		return this.observedViolation;
	}

	private Optional<String> sendAll(List<RankCommand> commands) {
		for (RankCommand command : commands) {
			this.groupSwitch.recordResult(command, send(command));
			Optional<String> violation = interleave();
			if (violation.isPresent()) {
				return violation;
			}
		}
		return Optional.empty();
	}

	int switches() {
		return this.ranks.switches();
	}

	/**
	 * Collects the status of one rank after the other while passes continue.
	 * @return the view, or empty if the group reopened meanwhile
	 */
	private Optional<GroupView> collectView() {
		List<RankStatus> statuses = new ArrayList<>();
		for (int rank = 0; rank < this.ranks.size(); rank++) {
			statuses.add(this.ranks.status(rank));
			if (this.choices.next(3) == 1) {
				this.observedViolation = this.observedViolation.or(this.ranks::runPass);
			}
			else if (this.ranks.delayed() > 0 && this.choices.next(2) == 1) {
				this.ranks.executeDelayed(this.ranks.delayed() - 1);
			}
		}
		return GroupView.of(statuses.get(0), statuses);
	}

	private OrderResult send(RankCommand command) {
		return this.ranks.send(new SimulatedRanks.Order(command, this.ranks.epoch(), this.fence),
				this.choices.next(SimulatedRanks.DELIVERY_OUTCOMES));
	}

	// Simulates an event between two actions of the lease holder.
	private Optional<String> interleave() {
		switch (this.choices.next(5)) {
			case 0 -> {
				return this.ranks.runPass();
			}
			case 1 -> {
				return Optional.empty();
			}
			case 2 -> {
				if (this.ranks.delayed() > 0) {
					this.ranks.executeDelayed(this.choices.next(this.ranks.delayed()));
				}
			}
			case 3 -> {
				this.groupSwitch = newGroupSwitch();
			}
			default -> {
				this.ranks.reopen();
			}
		}
		return Optional.empty();
	}

}
