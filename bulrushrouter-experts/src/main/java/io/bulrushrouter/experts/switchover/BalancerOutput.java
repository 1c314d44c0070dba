package io.bulrushrouter.experts.switchover;

import java.util.Optional;

/**
 * What {@link MapSwitchBalancer} wants done.
 */
public sealed interface BalancerOutput {

	/**
	 * Send a message to a rank.
	 *
	 * @param rank the rank
	 * @param message the message
	 */
	record ToRank(int rank, SwitchMessage message) implements BalancerOutput {
	}

	/**
	 * The outcome of the attempt is known. A committed map is to be written to the
	 * platform.
	 *
	 * @param change the change
	 * @param committed whether it is commit
	 * @param reason the first refusal, or empty if there was none
	 */
	record Settled(MapSwitch change, boolean committed, Optional<RefusalReason> reason) implements BalancerOutput {
	}

}
