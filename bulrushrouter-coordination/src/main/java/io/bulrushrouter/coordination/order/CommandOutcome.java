package io.bulrushrouter.coordination.order;

/**
 * What came of a command to an engine.
 */
public enum CommandOutcome {

	/** The engine carried it out. */
	DONE,

	/** The engine refused it without an effect, for a reason of its own. */
	REFUSED,

	/** The engine has seen a higher fencing number, and refused it without an effect. */
	STALE,

	/** No answer came: it may take effect now or later. */
	UNKNOWN

}
