package io.bulrushrouter.experts.switchover;

import io.bulrushrouter.experts.ExpertMap;

/**
 * An input of {@link MapSwitchBalancer}.
 */
public sealed interface BalancerInput {

	/**
	 * Starts an attempt. Ignored while another is undecided or the balancer is
	 * superseded.
	 *
	 * @param fromVersion the version of the map in use
	 * @param map the map to change to
	 * @param step the first step on the new map, far enough ahead for ranks to load the
	 * weights
	 */
	record Start(long fromVersion, ExpertMap map, long step) implements BalancerInput {
	}

	/**
	 * A message has been received.
	 *
	 * @param message the message
	 */
	record Received(SwitchMessage message) implements BalancerInput {
	}

	/**
	 * A retry interval has elapsed: messages without an answer are sent again.
	 */
	record Tick() implements BalancerInput {
	}

	/**
	 * The attempt has timed out. It is aborted if ranks are still preparing, and ignored
	 * once a commit was sent.
	 */
	record GiveUp() implements BalancerInput {
	}

}
