package io.bulrushrouter.bench.request;

/**
 * How an upstream fails.
 */
enum FailureMode {

	/** It works. */
	NONE,

	/** It refuses connections. */
	REFUSING,

	/** It takes requests and answers them with errors. */
	FAILING,

	/** It takes requests and does not answer. */
	STALLED

}
