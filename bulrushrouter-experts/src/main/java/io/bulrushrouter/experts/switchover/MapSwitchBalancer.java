package io.bulrushrouter.experts.switchover;

import java.util.ArrayList;
import java.util.BitSet;
import java.util.List;
import java.util.Optional;
import java.util.function.Supplier;

import io.bulrushrouter.experts.ExpertMap;

/**
 * The coordinator of the map switch, run by the process that holds the balancing lease of
 * a group. A restart, a new lease or a new incarnation of the group needs a new instance.
 * Not thread-safe.
 */
public final class MapSwitchBalancer {

	private final int ranks;

	private final long incarnation;

	private final long fence;

	private VolatileState volatileState;

	private MapSwitchBalancer(int ranks, long incarnation, long fence, VolatileState volatileState) {
		this.ranks = ranks;
		this.incarnation = incarnation;
		this.fence = fence;
		this.volatileState = volatileState;
	}

	/**
	 * Returns the state machine of a balancer that has just acquired its lease.
	 * @param ranks the number of ranks of the group
	 * @param incarnation the incarnation of the group
	 * @param fence the fencing token of the lease, from 1
	 * @return the state machine
	 */
	public static MapSwitchBalancer of(int ranks, long incarnation, long fence) {
		return of(ranks, incarnation, fence, VolatileState.EMPTY);
	}

	static MapSwitchBalancer of(int ranks, long incarnation, long fence, VolatileState volatileState) {
		return new MapSwitchBalancer(ranks, incarnation, fence, volatileState);
	}

	VolatileState volatileState() {
		return this.volatileState;
	}

	/**
	 * Returns the phase of the last attempt.
	 * @return the phase
	 */
	public Phase phase() {
		return this.volatileState.phase();
	}

	/**
	 * Returns whether a rank has seen a higher fencing token, which means that the lease
	 * is lost.
	 * @return whether the balancer is superseded
	 */
	public boolean superseded() {
		return this.volatileState.superseded();
	}

	/**
	 * Handles an input.
	 * @param input the input
	 * @return the actions to take, in order
	 */
	public List<BalancerOutput> on(BalancerInput input) {
		List<BalancerOutput> out = new ArrayList<>();
		if (input instanceof BalancerInput.Start start) {
			start(start, out);
		}
		else if (input instanceof BalancerInput.Received received) {
			handleMessage(received.message(), out);
		}
		else if (input instanceof BalancerInput.Tick) {
			sendPhaseMessage(out);
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
		Attempt attempt = Attempt.of(this.fence, this.volatileState.attempts() + 1);
		MapSwitch change = new MapSwitch(attempt, start.fromVersion(), start.map().version(), start.step());
		this.volatileState = VolatileState.ofStart(change, start.map());
		sendPhaseMessage(out);
	}

	private void handleMessage(SwitchMessage message, List<BalancerOutput> out) {
		if (message.incarnation() != this.incarnation || !this.volatileState.isFor(message.attempt())) {
			return;
		}
		if (message instanceof SwitchMessage.Promise promise && phase() == Phase.PREPARING) {
			handlePromise(promise.rank(), out);
		}
		else if (message instanceof SwitchMessage.Committed committed) {
			handleCommitted(committed.rank(), out);
		}
		else if (message instanceof SwitchMessage.Refusal refusal) {
			handleRefusal(refusal, out);
		}
	}

	private void handlePromise(int rank, List<BalancerOutput> out) {
		this.volatileState = this.volatileState.withAnswered(rank);
		if (this.volatileState.answered().cardinality() == this.ranks) {
			this.volatileState = this.volatileState.with(Phase.COMMITTING);
			sendPhaseMessage(out);
		}
	}

	private void handleCommitted(int rank, List<BalancerOutput> out) {
		if (phase() != Phase.COMMITTING && phase() != Phase.COMMITTED) {
			return;
		}
		if (phase() == Phase.COMMITTING) {
			out.add(new BalancerOutput.Settled(this.volatileState.change().orElseThrow(), true, Optional.empty()));
			this.volatileState = this.volatileState.with(Phase.COMMITTED);
		}
		this.volatileState = this.volatileState.withAnswered(rank);
	}

	private void handleRefusal(SwitchMessage.Refusal refusal, List<BalancerOutput> out) {
		if (refusal.fence() > this.fence) {
			this.volatileState = this.volatileState.withSuperseded();
		}
		if (phase() == Phase.PREPARING) {
			abort(Optional.of(refusal.reason()), out);
		}
		else if (phase() == Phase.COMMITTING && refusal.reason() == RefusalReason.COMMIT_BLOCKED) {
			this.volatileState = this.volatileState.withAnswered(refusal.rank());
			settleIfAllBlocked(out);
		}
	}

	private void settleIfAllBlocked(List<BalancerOutput> out) {
		if (this.volatileState.answered().cardinality() < this.ranks) {
			return;
		}
		this.volatileState = this.volatileState.with(Phase.REFUSED);
		out.add(new BalancerOutput.Settled(this.volatileState.change().orElseThrow(), false,
				Optional.of(RefusalReason.COMMIT_BLOCKED)));
	}

	private void abort(Optional<RefusalReason> reason, List<BalancerOutput> out) {
		this.volatileState = this.volatileState.with(Phase.ABORTED);
		sendPhaseMessage(out);
		out.add(new BalancerOutput.Settled(this.volatileState.change().orElseThrow(), false, reason));
	}

	private void sendPhaseMessage(List<BalancerOutput> out) {
		MapSwitch change = this.volatileState.change().orElse(null);
		switch (phase()) {
			case IDLE, REFUSED -> {
			}
			case PREPARING -> sendToUnanswered(
					() -> new SwitchMessage.Prepare(this.incarnation, change, this.volatileState.map().orElseThrow()),
					out);
			case COMMITTING, COMMITTED ->
				sendToUnanswered(() -> new SwitchMessage.Commit(this.incarnation, change.attempt()), out);
			case ABORTED -> sendToUnanswered(() -> new SwitchMessage.Abort(this.incarnation, change.attempt()), out);
		}
	}

	private void sendToUnanswered(Supplier<SwitchMessage> message, List<BalancerOutput> out) {
		SwitchMessage same = message.get();
		for (int rank = 0; rank < this.ranks; rank++) {
			if (!this.volatileState.answered().get(rank)) {
				out.add(new BalancerOutput.ToRank(rank, same));
			}
		}
	}

	/**
	 * The phase of an attempt.
	 */
	public enum Phase {

		/** No attempt was started. */
		IDLE,

		/** Prepare was sent; promises are being collected. */
		PREPARING,

		/**
		 * All ranks have promised and commit was sent; no rank is known to have the
		 * switch armed.
		 */
		COMMITTING,

		/** At least one rank is known to have the switch armed. */
		COMMITTED,

		/** The attempt was aborted before a commit was sent. */
		ABORTED,

		/**
		 * Every rank has refused the commit; the ranks decide on abort among themselves.
		 */
		REFUSED

	}

	/**
	 * The state of a balancer between inputs; lost on a restart.
	 *
	 * @param phase the phase of the last attempt
	 * @param attempts the number of attempts started
	 * @param change the change of the last attempt
	 * @param map the map of the last attempt
	 * @param answered the ranks that have answered the message of this phase and are not
	 * sent it again
	 * @param superseded whether a rank has seen a higher fencing token
	 */
	record VolatileState(Phase phase, int attempts, Optional<MapSwitch> change, Optional<ExpertMap> map,
			BitSet answered, boolean superseded) {

		static final VolatileState EMPTY = new VolatileState(Phase.IDLE, 0, Optional.empty(), Optional.empty(),
				new BitSet(), false);

		static VolatileState ofStart(MapSwitch change, ExpertMap map) {
			return new VolatileState(Phase.PREPARING, change.attempt().number(), Optional.of(change), Optional.of(map),
					new BitSet(), false);
		}

		boolean isFor(Attempt attempt) {
			return this.change.isPresent() && this.change.get().attempt().equals(attempt);
		}

		VolatileState with(Phase next) {
			return new VolatileState(next, this.attempts, this.change, this.map, new BitSet(), this.superseded);
		}

		VolatileState withAnswered(int rank) {
			BitSet ranks = (BitSet) this.answered.clone();
			ranks.set(rank);
			return new VolatileState(this.phase, this.attempts, this.change, this.map, ranks, this.superseded);
		}

		VolatileState withSuperseded() {
			return new VolatileState(this.phase, this.attempts, this.change, this.map, this.answered, true);
		}

	}

}
