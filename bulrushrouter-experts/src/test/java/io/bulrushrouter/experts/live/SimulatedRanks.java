package io.bulrushrouter.experts.live;

import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.Optional;
import java.util.OptionalLong;

/**
 * Simulates the engines of a group by their documented rules: they compute passes in
 * lock-step, execute orders one by one, and check epochs and fencing tokens. Orders may
 * stay in flight indefinitely.
 */
final class SimulatedRanks {

	/** The number of possible outcomes of sending an order. */
	static final int DELIVERY_OUTCOMES = 5;

	static final int ANSWERED = 0;

	static final int LOST = 3;

	static final int ANSWERED_WITH_COPY = 4;

	private final Rank[] ranks;

	/**
	 * The maximum number of changes by which a status from another instance lags behind.
	 */
	static final int MAX_STATUS_AGE = 3;

	private final List<Order> delayed = new ArrayList<>();

	private final List<List<RankStatus>> history = new ArrayList<>();

	private long epoch = 1;

	private long step;

	private int switches;

	SimulatedRanks(int size) {
		this.ranks = new Rank[size];
		for (int rank = 0; rank < size; rank++) {
			this.ranks[rank] = new Rank();
			this.history.add(new ArrayList<>());
		}
	}

	int size() {
		return this.ranks.length;
	}

	long epoch() {
		return this.epoch;
	}

	int switches() {
		return this.switches;
	}

	boolean held() {
		return this.ranks[GroupView.HOLD_RANK].held == this.step + 1;
	}

	/**
	 * Returns whether all ranks but the leader's are armed.
	 * @return whether each of them is
	 */
	boolean othersArmed() {
		return Arrays.stream(this.ranks)
			.skip(GroupView.LEADER_RANK + 1)
			.allMatch((rank) -> rank.armedVersion != Rank.NONE);
	}

	RankStatus status(int rank) {
		return this.ranks[rank].status(rank, this.ranks.length, this.epoch, this.step);
	}

	/**
	 * Returns a past status of a rank, as another instance may see it.
	 * @param rank the index of the rank
	 * @param age the number of changes since then, at most {@link #MAX_STATUS_AGE}
	 * @return the status
	 */
	RankStatus pastStatus(int rank, int age) {
		List<RankStatus> recorded = this.history.get(rank);
		return (age == 0 || recorded.isEmpty()) ? status(rank) : recorded.get(Math.max(0, recorded.size() - age));
	}

	private void recordStatuses() {
		for (int rank = 0; rank < this.ranks.length; rank++) {
			List<RankStatus> recorded = this.history.get(rank);
			recorded.add(status(rank));
			if (recorded.size() > MAX_STATUS_AGE) {
				recorded.remove(0);
			}
		}
	}

	/**
	 * Reopens the group in a new epoch.
	 */
	void reopen() {
		recordStatuses();
		this.epoch++;
		Arrays.setAll(this.ranks, (rank) -> new Rank());
	}

	/**
	 * Runs a pass, unless the group is held.
	 * @return a description of the violation, or empty
	 */
	Optional<String> runPass() {
		if (held()) {
			return Optional.empty();
		}
		recordStatuses();
		this.step++;
		for (Rank rank : this.ranks) {
			rank.beginPass(this.step);
		}
		long map = this.ranks[0].map;
		if (Arrays.stream(this.ranks).anyMatch((rank) -> rank.map != map)) {
			return Optional.of("pass " + this.step + " started with different maps");
		}
		this.switches = (int) Math.max(this.switches, (map > 0) ? 1 : 0);
		return Optional.empty();
	}

	/**
	 * Sends an order with a given outcome: answered, delayed, executed without an answer,
	 * lost, or answered with a copy that is executed later.
	 * @param order the order
	 * @param outcome the outcome, from 0 to 4 in the order above
	 * @return the result that the sender sees
	 */
	OrderResult send(Order order, int outcome) {
		if (outcome == 1 || outcome == ANSWERED_WITH_COPY) {
			this.delayed.add(order);
		}
		if (outcome == ANSWERED || outcome == ANSWERED_WITH_COPY) {
			return execute(order);
		}
		if (outcome == 2) {
			execute(order);
		}
		return OrderResult.UNKNOWN;
	}

	int delayed() {
		return this.delayed.size();
	}

	void executeDelayed(int index) {
		execute(this.delayed.remove(index));
	}

	private OrderResult execute(Order order) {
		if (order.epoch() != this.epoch) {
			return OrderResult.REFUSED;
		}
		recordStatuses();
		Rank rank = this.ranks[order.command().rank()];
		if (order.fence() < rank.highestFence) {
			return OrderResult.SUPERSEDED;
		}
		rank.highestFence = order.fence();
		if (!rank.execute(order.command().order(), this.step)) {
			return OrderResult.REFUSED;
		}
		// Weights are copied for some time.
		return (order.command().order() instanceof RankOrder.Prepare) ? OrderResult.STARTED : OrderResult.ACCEPTED;
	}

	/**
	 * An order in flight.
	 *
	 * @param command the order and the rank that receives it
	 * @param epoch the epoch that the order is addressed to
	 * @param fence the sender's fencing token
	 */
	record Order(RankCommand command, long epoch, long fence) {
	}

	private static final class Rank {

		private static final long NONE = -1;

		private long map;

		private long highestVersion;

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

		private void beginPass(long step) {
			if (this.armedStep == step) {
				this.map = this.armedVersion;
				this.prepared = NONE;
				this.armedVersion = NONE;
				this.armedStep = NONE;
			}
		}

		private boolean execute(RankOrder order, long step) {
			if (order instanceof RankOrder.Prepare prepare) {
				if (prepare.version() <= this.highestVersion || this.armedVersion != NONE) {
					return prepare.version() == this.prepared;
				}
				this.highestVersion = prepare.version();
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
