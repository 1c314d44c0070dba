package io.bulrushrouter.kernel;

/**
 * The priority of a request within its organisation, from highest to lowest.
 */
public enum Priority {

	/** Interactive requests, where a user waits for the answer. */
	HIGH,

	/** The default priority. */
	NORMAL,

	/** Requests that can be delayed and are shed first under overload. */
	LOW

}
