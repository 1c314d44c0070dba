package io.bulrushrouter.gateway.config;

/**
 * Kinds of route, by whether their requests may run more than once and how they are
 * answered.
 */
public enum RouteKind {

	/** A request may run more than once. */
	IDEMPOTENT,

	/** A request runs at most once. */
	NON_IDEMPOTENT,

	/** The answer is a stream of events. */
	STREAM

}
