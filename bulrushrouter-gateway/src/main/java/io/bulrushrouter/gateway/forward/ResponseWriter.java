package io.bulrushrouter.gateway.forward;

import io.netty.buffer.ByteBuf;
import io.netty.handler.codec.http.HttpHeaders;
import io.netty.handler.codec.http.HttpResponseStatus;

/**
 * The way back to the caller of one request.
 */
interface ResponseWriter {

	/**
	 * Sends a whole answer.
	 * @param status the status
	 * @param headers the headers, without the body's framing
	 * @param body the body
	 */
	void respond(HttpResponseStatus status, HttpHeaders headers, ByteBuf body);

	/**
	 * Starts an answer of unknown length.
	 * @param status the status
	 * @param headers the headers, without the body's framing
	 */
	void startResponse(HttpResponseStatus status, HttpHeaders headers);

	/**
	 * Sends a part of a started answer.
	 * @param part the bytes
	 */
	void writePart(ByteBuf part);

	/**
	 * Ends a started answer as whole.
	 */
	void finish();

	/**
	 * Breaks a started answer off, so that it cannot look whole.
	 */
	void abort();

	/**
	 * Tells whether more parts may be sent without much being buffered.
	 * @return whether the caller keeps up
	 */
	boolean writable();

}
