package io.bulrushrouter.http;

/**
 * Receives a response as it arrives: a head and any number of parts of the body, and then
 * either the end or a failure, which may also come first.
 */
public interface HttpResponseListener {

	/**
	 * Called when the head has arrived.
	 * @param head the status and headers
	 */
	void head(HttpResponseHead head);

	/**
	 * Called when a part of the body has arrived.
	 * @param bytes the part
	 */
	void part(byte[] bytes);

	/**
	 * Called when the response is complete.
	 */
	void end();

	/**
	 * Called when the call has failed before the response was complete.
	 * @param mayHaveArrived whether any part of the request may have reached the server
	 * @param cause the cause of the failure
	 */
	void failed(boolean mayHaveArrived, Throwable cause);

}
