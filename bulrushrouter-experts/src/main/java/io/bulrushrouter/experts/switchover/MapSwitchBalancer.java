package io.bulrushrouter.experts.switchover;

import java.util.ArrayList;
import java.util.BitSet;
import java.util.List;
import java.util.Optional;
import java.util.function.Supplier;

import io.bulrushrouter.experts.ExpertMap;

/**
 * The part of the map switch that runs at the holder of a group's balancing duty. A
 * restart, a new lease or a new incarnation of the group makes a new one. Confined to one
 * thread.
 */
public final class MapSwitchBalancer {

	private final int ranks;

	private final long incarnation;

	private final long fence;

	private Memory memory;

	private MapSwitchBalancer(int ranks, long incarnation, long fence, Memory memory) {
		this.ranks = ranks;
		this.incarnation = incarnation;
		this.fence = fence;
		this.memory = memory;
	}

	/**
	 * Returns the state machine of a balancer that has just taken its lease.
	 * @param ranks the number of ranks of the group
	 * @param incarnation the incarnation of the group
	 * @param fence the fencing number of the lease, from 1
	 * @return the state machine
	 */
	public static MapSwitchBalancer of(int ranks, long incarnation, long fence) {
		return of(ranks, incarnation, fence, Memory.EMPTY);
	}

	static MapSwitchBalancer of(int ranks, long incarnation, long fence, Memory memory) {
		return new MapSwitchBalancer(ranks, incarnation, fence, memory);
	}

	Memory memory() {
		return this.memory;
	}

	/**
	 * Returns where the last attempt stands.
	 * @return the phase
	 */
	public Phase phase() {
		return this.memory.phase();
	}

	/**
	 * Returns whether a rank has seen a higher fencing number: the lease is lost.
	 * @return whether one has
	 */
	public boolean superseded() {
		return this.memory.superseded();
	}

	/**
	 * Reacts to an input.
	 * @param input the input
	 * @return what to do, in order
	 */
	public List<BalancerOutput> on(BalancerInput input) {
		List<BalancerOutput> out = new ArrayList<>();
		if (input instanceof BalancerInput.Start start) {
			start(start, out);
		}
		else if (input instanceof BalancerInput.Received received) {
			receive(received.message(), out);
		}
		else if (input instanceof BalancerInput.Tick) {
			sendAgain(out);
		}
		else if (phase() == Phase.PREPARING) {
			abort(Optional.empty(), out);
		}
		return out;
	}

	private void start(BalancerInput.Start start, List<BalancerOutput> out) {
		if (superseded() || phase() == Phase.PREPARING || phase() == Phase.COMMITTING) {
			return;
		}
		Attempt attempt = Attempt.of(this.fence, this.memory.attempts() + 1);
		MapSwitch change = new MapSwitch(attempt, start.fromVersion(), start.map().version(), start.step());
		this.memory = Memory.ofStart(change, start.map());
		sendAgain(out);
	}

	private void receive(SwitchMessage message, List<BalancerOutput> out) {
		if (message.incarnation() != this.incarnation || !this.memory.isAbout(message.attempt())) {
			return;
		}
		if (message instanceof SwitchMessage.Promise promise && phase() == Phase.PREPARING) {
			promised(promise.rank(), out);
		}
		else if (message instanceof SwitchMessage.Committed committed) {
			committed(committed.rank(), out);
		}
		else if (message instanceof SwitchMessage.Refusal refusal) {
			refused(refusal, out);
		}
	}

	private void promised(int rank, List<BalancerOutput> out) {
		this.memory = this.memory.withAnswered(rank);
		if (this.memory.answered().cardinality() == this.ranks) {
			this.memory = this.memory.with(Phase.COMMITTING);
			sendAgain(out);
		}
	}

	private void committed(int rank, List<BalancerOutput> out) {
		if (phase() != Phase.COMMITTING && phase() != Phase.COMMITTED) {
			return;
		}
		if (phase() == Phase.COMMITTING) {
			out.add(new BalancerOutput.Settled(this.memory.change().orElseThrow(), true, Optional.empty()));
			this.memory = this.memory.with(Phase.COMMITTED);
		}
		this.memory = this.memory.withAnswered(rank);
	}

	private void refused(SwitchMessage.Refusal refusal, List<BalancerOutput> out) {
		if (refusal.fence() > this.fence) {
			this.memory = this.memory.withSuperseded();
		}
		if (phase() == Phase.PREPARING) {
			abort(Optional.of(refusal.reason()), out);
		}
		else if (phase() == Phase.COMMITTING && refusal.reason() == RefusalReason.VOWED) {
			this.memory = this.memory.withAnswered(refusal.rank());
			settleIfAllVowed(out);
		}
	}

	private void settleIfAllVowed(List<BalancerOutput> out) {
		if (this.memory.answered().cardinality() < this.ranks) {
			return;
		}
		this.memory = this.memory.with(Phase.REFUSED);
		out.add(new BalancerOutput.Settled(this.memory.change().orElseThrow(), false,
				Optional.of(RefusalReason.VOWED)));
	}

	private void abort(Optional<RefusalReason> reason, List<BalancerOutput> out) {
		this.memory = this.memory.with(Phase.ABORTED);
		sendAgain(out);
		out.add(new BalancerOutput.Settled(this.memory.change().orElseThrow(), false, reason));
	}

	private void sendAgain(List<BalancerOutput> out) {
		MapSwitch change = this.memory.change().orElse(null);
		switch (phase()) {
			case IDLE, REFUSED -> {
			}
			case PREPARING -> sendToSilent(
					() -> new SwitchMessage.Prepare(this.incarnation, change, this.memory.map().orElseThrow()), out);
			case COMMITTING, COMMITTED ->
				sendToSilent(() -> new SwitchMessage.Commit(this.incarnation, change.attempt()), out);
			case ABORTED -> sendToSilent(() -> new SwitchMessage.Abort(this.incarnation, change.attempt()), out);
		}
	}

	private void sendToSilent(Supplier<SwitchMessage> message, List<BalancerOutput> out) {
		SwitchMessage same = message.get();
		for (int rank = 0; rank < this.ranks; rank++) {
			if (!this.memory.answered().get(rank)) {
				out.add(new BalancerOutput.ToRank(rank, same));
			}
		}
	}

	/**
	 * Where an attempt stands.
	 */
	public enum Phase {

		/** None was begun. */
		IDLE,

		/** Promises are being gathered. */
		PREPARING,

		/** All ranks have promised; no rank is known to have the switch armed. */
		COMMITTING,

		/** A rank has the switch armed. */
		COMMITTED,

		/** It is aborted; no commit was sent. */
		ABORTED,

		/** Every rank has refused the commit; the ranks abort by asking one another. */
		REFUSED

	}

	/**
	 * What a balancer remembers between inputs.
	 *
	 * @param phase where the attempt stands
	 * @param attempts the attempts begun
	 * @param change the change of the last attempt
	 * @param map the map of the last attempt
	 * @param answered the ranks that have answered the message of this phase
	 * @param superseded whether a higher fencing number was seen
	 */
	record Memory(Phase phase, int attempts, Optional<MapSwitch> change, Optional<ExpertMap> map, BitSet answered,
			boolean superseded) {

		static final Memory EMPTY = new Memory(Phase.IDLE, 0, Optional.empty(), Optional.empty(), new BitSet(), false);

		static Memory ofStart(MapSwitch change, ExpertMap map) {
			return new Memory(Phase.PREPARING, change.attempt().number(), Optional.of(change), Optional.of(map),
					new BitSet(), false);
		}

		boolean isAbout(Attempt attempt) {
			return this.change.isPresent() && this.change.get().attempt().equals(attempt);
		}

		Memory with(Phase next) {
			return new Memory(next, this.attempts, this.change, this.map, new BitSet(), this.superseded);
		}

		Memory withAnswered(int rank) {
			BitSet ranks = (BitSet) this.answered.clone();
			ranks.set(rank);
			return new Memory(this.phase, this.attempts, this.change, this.map, ranks, this.superseded);
		}

		Memory withSuperseded() {
			return new Memory(this.phase, this.attempts, this.change, this.map, this.answered, true);
		}

	}

}
