package io.bulrushrouter.experts.switchover;

/**
 * An input of {@link MapSwitchRank}.
 */
public sealed interface RankInput {

	/**
	 * A message has been received.
	 *
	 * @param message the message
	 */
	record Received(SwitchMessage message) implements RankInput {
	}

	/**
	 * The weights that a change needs are in the memory of the rank.
	 *
	 * @param change the change
	 */
	record WeightsLoaded(MapSwitch change) implements RankInput {
	}

	/**
	 * A retry interval has elapsed: a rank that waits for an outcome requests it again
	 * from the peers that have not answered. The caller's interval between ticks is the
	 * timeout of a request.
	 */
	record Tick() implements RankInput {
	}

	/**
	 * The sidecar has started.
	 */
	record Started() implements RankInput {
	}

}
