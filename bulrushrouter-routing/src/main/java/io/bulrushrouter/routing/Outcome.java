package io.bulrushrouter.routing;

/**
 * How a request ended at an upstream.
 */
public enum Outcome {

	/** The upstream answered it completely. */
	ANSWERED,

	/** The upstream failed: an error, a timeout or a lost connection. */
	FAILED,

	/** The sidecar declined it before it ran. */
	DECLINED,

	/** The caller cancelled it, or a hedged attempt made it unnecessary. */
	CANCELLED

}
