package io.bulrushrouter.experts.switchover;

import java.util.ArrayList;
import java.util.BitSet;
import java.util.Optional;

/**
 * A fair run of a {@link Group} in which nothing fails any more.
 */
final class HealedRun {

	private static final int ROUNDS = 12;

	private final Group group;

	HealedRun(Group group) {
		this.group = group;
	}

	/**
	 * Heals every fault, loses all messages sent so far, and runs the group fairly.
	 * @param from the state
	 * @param withBalancers whether the balancers run too
	 * @return what is wrong, or empty if the group steps on
	 */
	Optional<String> wrong(GroupState from, boolean withBalancers) {
		GroupState state = from.copy("heal");
		state.sent = new BitSet();
		for (int round = 0; round < ROUNDS; round++) {
			if (state.broken) {
				this.group.reform(state);
			}
			for (int rank = 0; rank < this.group.ranks; rank++) {
				if (this.group.mayJoin(state, rank)) {
					this.group.join(state, rank);
				}
				this.group.react(state, rank, new RankInput.Tick());
			}
			for (int balancer = 0; withBalancers && balancer < this.group.balancers; balancer++) {
				if (state.balancers[balancer] != Group.DOWN) {
					this.group.react(state, balancer, new BalancerInput.Tick());
				}
			}
			drain(state);
			for (int rank = 0; rank < this.group.ranks; rank++) {
				if (this.group.mayBegin(state, rank)) {
					this.group.begin(state, rank);
				}
			}
		}
		return state.violation.or(() -> (slowest(state) > Group.LAST_STEP + 2) ? Optional.empty()
				: Optional.of("stopped for ever" + this.group.describe(state)));
	}

	private void drain(GroupState state) {
		while (!state.sent.isEmpty()) {
			BitSet sent = state.sent;
			state.sent = new BitSet();
			for (int id = sent.nextSetBit(0); id >= 0; id = sent.nextSetBit(id + 1)) {
				this.group.deliver(state, id, new ArrayList<>());
			}
		}
	}

	private long slowest(GroupState state) {
		long slowest = Long.MAX_VALUE;
		for (int rank = 0; rank < this.group.ranks; rank++) {
			slowest = Math.min(slowest, this.group.engine(state, rank).nextStep());
		}
		return slowest;
	}

}
