package io.bulrushrouter.coordination;

/**
 * What goes wrong at one call of a process.
 */
public enum Fault {

	/** Nothing. */
	NONE,

	/** The store goes down before the call, for a while. */
	STORE_DOWN,

	/** The call is lost on its way. */
	REQUEST_LOST,

	/** The call takes effect and its answer is lost. */
	ANSWER_LOST,

	/** The process is paused with the call decided and not sent. */
	PAUSED_BEFORE,

	/** The process is paused while the answer waits for it. */
	PAUSED_AFTER,

	/** The process ends after the call took effect, and another starts in its place. */
	KILLED

}
