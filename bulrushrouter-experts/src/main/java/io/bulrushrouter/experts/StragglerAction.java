package io.bulrushrouter.experts;

/**
 * What is done about a rank, in the order in which it is tried.
 */
public enum StragglerAction {

	/** Nothing: the rank is as fast as the others. */
	NONE,

	/** Its replicas take smaller shares; no weights move. */
	REDUCE_SHARE,

	/** Its experts get replicas elsewhere. */
	MOVE_EXPERTS,

	/** The platform is asked to replace its instance. */
	REQUEST_REPLACEMENT

}
