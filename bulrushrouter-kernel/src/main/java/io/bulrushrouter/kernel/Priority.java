package io.bulrushrouter.kernel;

/**
 * The priority of a request within its organisation, from highest to lowest.
 */
public enum Priority {

	/** Urgent requests, whose caller is affected by every second of delay. */
	HIGH,

	/** The default priority. */
	NORMAL,

	/** Requests that can be delayed and are shed first under overload. */
	LOW

}
