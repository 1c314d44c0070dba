package io.bulrushrouter.gateway.source;

/**
 * What became of an object that an entry writes under its own name.
 */
public enum WriteOutcome {

	/** The store has not accepted it, or has not answered. */
	FAILED,

	/** There was none of its name. */
	CREATED,

	/** It has replaced one of this process or of an earlier one of the entry. */
	REPLACED

}
