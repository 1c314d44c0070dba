package io.bulrushrouter.gateway.source;

/**
 * What became of the heartbeat of an entry.
 */
public enum HeartbeatResult {

	/** The store has not accepted it, or has not answered. */
	FAILED,

	/** It is the first one under the entry's name. */
	CREATED,

	/** It has replaced one of this process or of an earlier one of the entry. */
	REPLACED

}
