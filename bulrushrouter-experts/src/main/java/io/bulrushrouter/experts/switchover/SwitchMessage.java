package io.bulrushrouter.experts.switchover;

import io.bulrushrouter.experts.ExpertMap;

/**
 * A message of the map switch. Messages of another incarnation of the group are dropped.
 */
public sealed interface SwitchMessage {

	/**
	 * Returns the incarnation of the group that the message belongs to.
	 * @return the incarnation
	 */
	long incarnation();

	/**
	 * Returns the attempt that the message concerns.
	 * @return the attempt
	 */
	Attempt attempt();

	/**
	 * Balancer to rank: load the weights, arm the stop and promise.
	 *
	 * @param incarnation the incarnation of the group
	 * @param change the change
	 * @param map the map to change to
	 */
	record Prepare(long incarnation, MapSwitch change, ExpertMap map) implements SwitchMessage {

		@Override
		public Attempt attempt() {
			return this.change.attempt();
		}

	}

	/**
	 * Rank to balancer: the stop is armed.
	 *
	 * @param incarnation the incarnation of the group
	 * @param attempt the attempt
	 * @param rank the sender
	 */
	record Promise(long incarnation, Attempt attempt, int rank) implements SwitchMessage {
	}

	/**
	 * Rank to balancer: a prepare or a commit is refused.
	 *
	 * @param incarnation the incarnation of the group
	 * @param attempt the attempt
	 * @param rank the sender
	 * @param reason the reason of the refusal
	 * @param fence the highest fencing token that the rank has seen
	 */
	record Refusal(long incarnation, Attempt attempt, int rank, RefusalReason reason,
			long fence) implements SwitchMessage {
	}

	/**
	 * Balancer to rank: all ranks have promised; arm the switch.
	 *
	 * @param incarnation the incarnation of the group
	 * @param attempt the attempt
	 */
	record Commit(long incarnation, Attempt attempt) implements SwitchMessage {
	}

	/**
	 * Balancer to rank: the attempt is aborted; no commit was sent and none will be.
	 *
	 * @param incarnation the incarnation of the group
	 * @param attempt the attempt
	 */
	record Abort(long incarnation, Attempt attempt) implements SwitchMessage {
	}

	/**
	 * Rank to balancer: the switch is armed.
	 *
	 * @param incarnation the incarnation of the group
	 * @param attempt the attempt
	 * @param rank the sender
	 */
	record Committed(long incarnation, Attempt attempt, int rank) implements SwitchMessage {
	}

	/**
	 * Rank to peer: requests the outcome of an attempt. Shows also that the sender's
	 * engine blocks the commit of the attempt.
	 *
	 * @param incarnation the incarnation of the group
	 * @param attempt the attempt
	 * @param rank the sender
	 */
	record OutcomeRequest(long incarnation, Attempt attempt, int rank) implements SwitchMessage {
	}

	/**
	 * Rank to peer: the response to {@link OutcomeRequest}.
	 *
	 * @param incarnation the incarnation of the group
	 * @param attempt the attempt
	 * @param rank the sender
	 * @param committed whether the sender's engine has the switch armed; if not, it
	 * blocks the commit of the attempt
	 */
	record OutcomeResponse(long incarnation, Attempt attempt, int rank, boolean committed) implements SwitchMessage {
	}

}
