package io.bulrushrouter.kernel;

/**
 * The priority of a request within its organisation, from highest to lowest.
 */
public enum Priority {

	/** Requests that somebody waits for, so that every second of delay counts. */
	HIGH,

	/** The default priority. */
	NORMAL,

	/** Requests that can be delayed and are shed first under overload. */
	LOW

}
