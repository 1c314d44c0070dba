package io.bulrushrouter.experts.switchover;

/**
 * What {@link MapSwitchRank} reacts to.
 */
public sealed interface RankInput {

	/**
	 * A message has arrived.
	 *
	 * @param message the message
	 */
	record Received(SwitchMessage message) implements RankInput {
	}

	/**
	 * The weights of a change are in the memory of the rank.
	 *
	 * @param change the change
	 */
	record WeightsLoaded(MapSwitch change) implements RankInput {
	}

	/**
	 * Time has passed: unanswered questions are sent again. The daemon's period between
	 * ticks is the time that a rank waits for an answer.
	 */
	record Tick() implements RankInput {
	}

	/**
	 * The sidecar has started.
	 */
	record Started() implements RankInput {
	}

}
