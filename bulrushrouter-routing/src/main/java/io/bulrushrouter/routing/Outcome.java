package io.bulrushrouter.routing;

/**
 * How a request ended at an upstream, as the choice of upstream sees it.
 */
public enum Outcome {

	/** It was answered whole. */
	ANSWERED,

	/** The upstream failed: an error, a timeout or a lost connection. */
	FAILED,

	/** The sidecar declined it before it ran. */
	DECLINED,

	/** The caller or a hedge cancelled it. */
	CANCELLED

}
