package io.bulrushrouter.coordination;

/**
 * The faults that can be injected at one call of a process.
 */
public enum Fault {

	/** No fault. */
	NONE,

	/** The store becomes unavailable before the call, for some time. */
	STORE_DOWN,

	/** The request is lost and has no effect. */
	REQUEST_LOST,

	/** The call takes effect and its response is lost. */
	ANSWER_LOST,

	/** The process is paused after it decided on the call and before it sends it. */
	PAUSED_BEFORE,

	/**
	 * The process is paused after the call took effect and before it handles the
	 * response.
	 */
	PAUSED_AFTER,

	/** The process is killed after the call took effect, and a replacement is started. */
	KILLED

}
