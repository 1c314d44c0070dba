package io.bulrushrouter.gateway.config;

/**
 * What may be repeated of the requests of a route.
 */
public enum RouteKind {

	/** A request may run more than once. */
	IDEMPOTENT,

	/** A request runs at most once. */
	NON_IDEMPOTENT,

	/** The answer is a stream of events. */
	STREAM

}
