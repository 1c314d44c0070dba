package io.bulrushrouter.coordination;

/**
 * The kinds of call that a budget tells apart.
 */
public enum CallKind {

	/** A read or a list. */
	READ,

	/** A watch, counted when it begins. */
	WATCH,

	/** A conditional write. */
	WRITE

}
