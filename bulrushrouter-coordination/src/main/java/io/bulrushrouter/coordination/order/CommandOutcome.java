package io.bulrushrouter.coordination.order;

/**
 * The outcome of a command to an engine.
 */
public enum CommandOutcome {

	/** The engine executed the command. */
	DONE,

	/** The engine refused the command for its own reason; the command had no effect. */
	REFUSED,

	/**
	 * The engine has seen a higher fencing token and refused the command; it had no
	 * effect.
	 */
	STALE,

	/**
	 * The engine did not answer; the command may have taken effect or may still do so.
	 */
	UNKNOWN

}
