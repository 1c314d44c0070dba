package io.bulrushrouter.experts.switchover;

import io.bulrushrouter.experts.ExpertMap;

/**
 * What {@link MapSwitchBalancer} reacts to.
 */
public sealed interface BalancerInput {

	/**
	 * Begin an attempt. Ignored while another is undecided.
	 *
	 * @param fromVersion the version of the map in use
	 * @param map the map to change to
	 * @param step the first step on the new map, far enough ahead for the weights to load
	 */
	record Start(long fromVersion, ExpertMap map, long step) implements BalancerInput {
	}

	/**
	 * A message has arrived.
	 *
	 * @param message the message
	 */
	record Received(SwitchMessage message) implements BalancerInput {
	}

	/**
	 * Time has passed: what was not answered is sent again.
	 */
	record Tick() implements BalancerInput {
	}

	/**
	 * The attempt has taken too long: abort it, unless commit is decided.
	 */
	record GiveUp() implements BalancerInput {
	}

}
