package io.bulrushrouter.experts.switchover;

import io.bulrushrouter.experts.ExpertMap;

/**
 * An action that {@link MapSwitchRank} requests.
 */
public sealed interface RankOutput {

	/**
	 * Sends a message to the balancer that holds a fencing token.
	 *
	 * @param fence the fencing token
	 * @param message the message
	 */
	record ToBalancer(long fence, SwitchMessage message) implements RankOutput {
	}

	/**
	 * Sends a message to a peer.
	 *
	 * @param rank the rank of the peer
	 * @param message the message
	 */
	record ToRank(int rank, SwitchMessage message) implements RankOutput {
	}

	/**
	 * Loads the weights of the new map that the rank does not hold. Once they are in
	 * memory, the caller has to pass {@link RankInput.WeightsLoaded}. The weights of the
	 * map in use are kept until the switch.
	 *
	 * @param change the change
	 * @param map the map to change to
	 */
	record LoadWeights(MapSwitch change, ExpertMap map) implements RankOutput {
	}

	/**
	 * Reports the outcome of an attempt at this rank, for the log.
	 *
	 * @param attempt the attempt
	 * @param committed whether the attempt was committed
	 */
	record Decided(Attempt attempt, boolean committed) implements RankOutput {
	}

}
