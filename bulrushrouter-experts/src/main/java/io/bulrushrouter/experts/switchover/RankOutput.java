package io.bulrushrouter.experts.switchover;

import io.bulrushrouter.experts.ExpertMap;

/**
 * What {@link MapSwitchRank} wants done.
 */
public sealed interface RankOutput {

	/**
	 * Send a message to the balancer that holds a fencing number.
	 *
	 * @param fence the fencing number
	 * @param message the message
	 */
	record ToBalancer(long fence, SwitchMessage message) implements RankOutput {
	}

	/**
	 * Send a message to a peer.
	 *
	 * @param rank the peer
	 * @param message the message
	 */
	record ToRank(int rank, SwitchMessage message) implements RankOutput {
	}

	/**
	 * Load the weights of the new map that the rank does not hold, then give
	 * {@link RankInput.WeightsLoaded}. The weights of the map in use stay until the
	 * switch.
	 *
	 * @param change the change
	 * @param map the map to change to
	 */
	record LoadWeights(MapSwitch change, ExpertMap map) implements RankOutput {
	}

	/**
	 * The outcome of an attempt is known at this rank, for the log.
	 *
	 * @param attempt the attempt
	 * @param committed whether it is commit
	 */
	record Decided(Attempt attempt, boolean committed) implements RankOutput {
	}

}
