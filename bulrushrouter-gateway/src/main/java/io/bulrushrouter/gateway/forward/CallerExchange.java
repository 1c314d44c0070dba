package io.bulrushrouter.gateway.forward;

/**
 * The serving of one request, as the connection of its caller sees it.
 */
interface CallerExchange {

	/**
	 * Starts to serve the request.
	 */
	void start();

	/**
	 * Cancels the request after the connection of its caller has closed.
	 * @param detail why it closed, for the log
	 */
	void callerDisconnected(String detail);

	/**
	 * Pauses or resumes reading from the upstream, as the caller's connection requires.
	 * @param writable whether more can be written to the caller
	 */
	void callerWritabilityChanged(boolean writable);

}
