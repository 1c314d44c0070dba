package io.bulrushrouter.experts;

/**
 * The action for a rank, in order of escalation.
 */
public enum StragglerAction {

	/** None: the rank is not a straggler. */
	NONE,

	/** Reduces the token shares of the rank's replicas without moving weights. */
	REDUCE_SHARE,

	/** Places replicas of the rank's experts on other ranks. */
	MOVE_EXPERTS,

	/** Requests a replacement of the rank's instance from the platform. */
	REQUEST_REPLACEMENT

}
