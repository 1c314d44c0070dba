package io.bulrushrouter.bench.request;

/**
 * The ways in which an upstream fails.
 */
enum FailureMode {

	/** The upstream works. */
	NONE,

	/** The upstream refuses connections. */
	REFUSING,

	/** The upstream accepts requests and answers them with errors. */
	FAILING,

	/** The upstream accepts requests and does not answer until the fault ends. */
	STALLED

}
