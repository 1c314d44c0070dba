package io.bulrushrouter.experts.switchover;

import java.util.ArrayList;
import java.util.BitSet;
import java.util.Optional;

/**
 * A fair run of a {@link GroupModel} without further faults, which checks that the group
 * makes progress again.
 */
final class HealedRun {

	private static final int ROUNDS = 12;

	private final GroupModel group;

	HealedRun(GroupModel group) {
		this.group = group;
	}

	/**
	 * Ends all faults, drops all messages in flight, and runs the group fairly.
	 * @param from the state to start from
	 * @param withBalancers whether the balancers run as well
	 * @return a description of the violation, or empty if the group makes progress
	 */
	Optional<String> findViolation(GroupState from, boolean withBalancers) {
		GroupState state = from.copy("heal");
		state.sentMessages = new BitSet();
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
				if (state.balancers[balancer] != GroupModel.DOWN) {
					this.group.react(state, balancer, new BalancerInput.Tick());
				}
			}
			deliverAll(state);
			for (int rank = 0; rank < this.group.ranks; rank++) {
				if (this.group.mayBeginStep(state, rank)) {
					this.group.beginStep(state, rank);
				}
			}
		}
		return state.violation.or(() -> (minNextStep(state) > GroupModel.LAST_STEP + 2) ? Optional.empty()
				: Optional.of("no progress after healing" + this.group.describe(state)));
	}

	private void deliverAll(GroupState state) {
		while (!state.sentMessages.isEmpty()) {
			BitSet sentMessages = state.sentMessages;
			state.sentMessages = new BitSet();
			for (int id = sentMessages.nextSetBit(0); id >= 0; id = sentMessages.nextSetBit(id + 1)) {
				this.group.deliver(state, id, new ArrayList<>());
			}
		}
	}

	private long minNextStep(GroupState state) {
		long minNextStep = Long.MAX_VALUE;
		for (int rank = 0; rank < this.group.ranks; rank++) {
			minNextStep = Math.min(minNextStep, this.group.engine(state, rank).nextStep());
		}
		return minNextStep;
	}

}
