package io.bulrushrouter.gateway.forward;

import io.netty.buffer.ByteBuf;
import io.netty.handler.codec.http.HttpHeaders;
import io.netty.handler.codec.http.HttpResponseStatus;

/**
 * Writes the response to the caller of one request.
 */
interface ResponseWriter {

	/**
	 * Sends a complete response.
	 * @param status the status
	 * @param headers the headers, without those that frame the body
	 * @param body the body
	 */
	void respond(HttpResponseStatus status, HttpHeaders headers, ByteBuf body);

	/**
	 * Starts a response of unknown length.
	 * @param status the status
	 * @param headers the headers, without those that frame the body
	 */
	void startResponse(HttpResponseStatus status, HttpHeaders headers);

	/**
	 * Sends a part of the body of a started response.
	 * @param part the bytes; ownership passes to this writer
	 */
	void writePart(ByteBuf part);

	/**
	 * Records how much of the response is held back until more of it has arrived, which
	 * counts toward the memory bound of all connections.
	 * @param bytes the number of bytes
	 */
	void buffered(long bytes);

	/**
	 * Ends a started response.
	 */
	void finish();

	/**
	 * Aborts a started response by closing the connection, so that the caller cannot take
	 * it for a complete one.
	 */
	void abort();

	/**
	 * Returns whether the caller reads fast enough for more parts to be read from the
	 * upstream.
	 * @return whether more parts may be sent
	 */
	boolean writable();

}
