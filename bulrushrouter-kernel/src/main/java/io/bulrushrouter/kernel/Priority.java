package io.bulrushrouter.kernel;

/**
 * How urgent a request is within its organisation, most urgent first.
 */
public enum Priority {

	/** Somebody waits and is delayed by every second. */
	HIGH,

	/** The usual priority. */
	NORMAL,

	/** Work that may wait, and that is shed first. */
	LOW

}
