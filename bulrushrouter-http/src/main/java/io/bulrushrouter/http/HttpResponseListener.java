package io.bulrushrouter.http;

/**
 * Takes an answer as it arrives: a head, parts, and then either an end or a failure.
 */
public interface HttpResponseListener {

	/**
	 * Takes the head.
	 * @param head status and headers
	 */
	void head(HttpResponseHead head);

	/**
	 * Takes a part of the body.
	 * @param bytes the part
	 */
	void part(byte[] bytes);

	/**
	 * Takes the clean end.
	 */
	void end();

	/**
	 * Takes a failure.
	 * @param mayHaveArrived whether a byte of the request may have reached the server
	 * @param cause what happened
	 */
	void failed(boolean mayHaveArrived, Throwable cause);

}
