package io.bulrushrouter.coordination;

/**
 * The kinds of call that a budget limits separately.
 */
public enum CallKind {

	/** A read or a list. */
	READ,

	/** A watch, counted when it starts. */
	WATCH,

	/** A conditional write. */
	WRITE

}
