package io.bulrushrouter.experts.switchover;

import java.util.Optional;

/**
 * An action that {@link MapSwitchBalancer} requests.
 */
public sealed interface BalancerOutput {

	/**
	 * Sends a message to a rank.
	 *
	 * @param rank the rank
	 * @param message the message
	 */
	record ToRank(int rank, SwitchMessage message) implements BalancerOutput {
	}

	/**
	 * Reports the outcome of the attempt. The caller has to write a committed map to the
	 * platform.
	 *
	 * @param change the change that the attempt proposed
	 * @param committed whether the attempt was committed
	 * @param reason why a rank refused, or empty if the attempt was committed or timed
	 * out
	 */
	record Settled(MapSwitch change, boolean committed, Optional<RefusalReason> reason) implements BalancerOutput {
	}

}
