package io.bulrushrouter.experts.live;

import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.Optional;
import java.util.OptionalLong;

/**
 * A model of a group's engines by their published rules: orders may go unanswered, be
 * carried out later or never; passes go on meanwhile; the balancer may be replaced; the
 * group may break and open anew.
 */
final class ModelGroup {

	private static final int[][][] EXPERTS = { { { 0 }, { 1 }, { 2 } } };

	private final int size;

	private final Choices choices;

	private final GroupSwitch.Guards guards;

	private final Rank[] ranks;

	private final List<Late> late = new ArrayList<>();

	private GroupSwitch decisions;

	private long fence = 1;

	private long epoch = 1;

	private long step;

	private int switches;

	private Optional<String> broken = Optional.empty();

	ModelGroup(int size, Choices choices, GroupSwitch.Guards guards) {
		this.size = size;
		this.choices = choices;
		this.guards = guards;
		this.ranks = new Rank[size];
		Arrays.setAll(this.ranks, (rank) -> new Rank());
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
		return this.switches;
	}

	/**
	 * Asks the ranks one after the other, while the group goes on.
	 * @return the view, or empty if the group opened anew meanwhile
	 */
	private Optional<GroupView> view() {
		List<RankStatus> statuses = new ArrayList<>();
		for (int rank = 0; rank < this.size; rank++) {
			statuses.add(this.ranks[rank].status(rank, this.size, this.epoch, this.step));
			if (this.choices.next(3) == 1) {
				this.broken = this.broken.or(this::pass);
			}
			else if (!this.late.isEmpty() && this.choices.next(2) == 1) {
				carryOut(this.late.remove(this.late.size() - 1));
			}
		}
		return GroupView.of(statuses.get(0), statuses);
	}

	private OrderResult send(RankCommand command) {
		Late order = new Late(command, this.epoch, this.fence);
		return switch (this.choices.next(4)) {
			case 0 -> carryOut(order) ? OrderResult.ACCEPTED : OrderResult.REFUSED;
			case 1 -> {
				this.late.add(order);
				yield OrderResult.UNKNOWN;
			}
			case 2 -> {
				carryOut(order);
				yield OrderResult.UNKNOWN;
			}
			default -> OrderResult.UNKNOWN;
		};
	}

	// What may happen while nothing is decided.
	private Optional<String> between() {
		switch (this.choices.next(5)) {
			case 0 -> {
				return pass();
			}
			case 1 -> {
				return Optional.empty();
			}
			case 2 -> {
				if (!this.late.isEmpty()) {
					carryOut(this.late.remove(this.choices.next(this.late.size())));
				}
			}
			case 3 -> {
				this.decisions = newDecisions();
			}
			default -> {
				this.epoch++;
				Arrays.setAll(this.ranks, (rank) -> new Rank());
			}
		}
		return Optional.empty();
	}

	private Optional<String> pass() {
		if (this.ranks[0].held == this.step + 1) {
			return Optional.empty();
		}
		this.step++;
		for (Rank rank : this.ranks) {
			rank.begin(this.step);
		}
		long map = this.ranks[0].map;
		if (Arrays.stream(this.ranks).anyMatch((rank) -> rank.map != map)) {
			return Optional.of("pass " + this.step + " began on two maps");
		}
		this.switches = (int) Math.max(this.switches, (map > 0) ? 1 : 0);
		return Optional.empty();
	}

	private boolean carryOut(Late order) {
		if (order.epoch() != this.epoch) {
			return false;
		}
		Rank rank = this.ranks[order.command().rank()];
		if (order.fence() < rank.highestFence) {
			return false;
		}
		rank.highestFence = order.fence();
		return rank.carryOut(order.command().order(), this.step);
	}

	private record Late(RankCommand command, long epoch, long fence) {
	}

	private static final class Rank {

		private static final long NONE = -1;

		private long map;

		private long highest;

		private long highestFence;

		private long prepared = NONE;

		private long armedVersion = NONE;

		private long armedStep = NONE;

		private long held = NONE;

		private RankStatus status(int rank, int size, long epoch, long step) {
			Optional<RankStatus.Armed> armed = (this.armedVersion == NONE) ? Optional.empty()
					: Optional.of(new RankStatus.Armed(this.armedVersion, this.armedStep));
			return new RankStatus("group", epoch, rank, size, true, 0, step, this.map, optional(this.prepared), armed,
					optional(this.held));
		}

		private static OptionalLong optional(long value) {
			return (value == NONE) ? OptionalLong.empty() : OptionalLong.of(value);
		}

		private void begin(long step) {
			if (this.armedStep == step) {
				this.map = this.armedVersion;
				this.prepared = NONE;
				this.armedVersion = NONE;
				this.armedStep = NONE;
			}
		}

		private boolean carryOut(RankOrder order, long step) {
			if (order instanceof RankOrder.Prepare prepare) {
				if (prepare.version() <= this.highest || this.armedVersion != NONE) {
					return prepare.version() == this.prepared;
				}
				this.highest = prepare.version();
				this.prepared = prepare.version();
				return true;
			}
			if (order instanceof RankOrder.Arm arm) {
				if (this.prepared != arm.version() || arm.step() <= step) {
					return false;
				}
				this.armedVersion = arm.version();
				this.armedStep = arm.step();
				return true;
			}
			if (order instanceof RankOrder.Disarm disarm) {
				if (this.armedVersion == disarm.version()) {
					this.armedVersion = NONE;
					this.armedStep = NONE;
				}
				return this.map != disarm.version();
			}
			if (order instanceof RankOrder.Hold hold) {
				if (this.held != NONE || hold.step() <= step) {
					return this.held == hold.step();
				}
				this.held = hold.step();
				return true;
			}
			if (order instanceof RankOrder.Go go && this.held == go.step()) {
				this.held = NONE;
				return true;
			}
			return false;
		}

	}

}
