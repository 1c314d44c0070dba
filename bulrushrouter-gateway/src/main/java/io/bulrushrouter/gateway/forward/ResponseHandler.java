package io.bulrushrouter.gateway.forward;

import io.netty.buffer.ByteBuf;
import io.netty.handler.codec.http.HttpResponse;

import io.bulrushrouter.kernel.ErrorCode;
import io.bulrushrouter.kernel.Verdict;

/**
 * Receives the response to one attempt at an upstream. At most one of {@link #onEnd()},
 * {@link #onMalformed(String, long)} and {@link #onFailure(Verdict, String)} is called,
 * and nothing after it.
 */
interface ResponseHandler {

	/**
	 * Called with the head of the response.
	 * @param head the status and the headers
	 */
	void onHead(HttpResponse head);

	/**
	 * Called with a part of the body.
	 * @param part the bytes; the handler must release them
	 */
	void onContent(ByteBuf part);

	/**
	 * Called after bytes have arrived and what they complete has been reported.
	 */
	default void onBytes() {
	}

	/**
	 * Called when the response is complete.
	 */
	void onEnd();

	/**
	 * Called when the response cannot be completed.
	 * @param verdict whether the request may have run, and why it failed
	 * @param detail a description for the log
	 */
	void onFailure(Verdict verdict, String detail);

	/**
	 * Called when what arrives is no response in the protocol.
	 * @param detail a description for the log
	 * @param unverifiedBytes how many of the last bytes of the body belong to a chunk
	 * that is longer or shorter than its size
	 */
	default void onMalformed(String detail, long unverifiedBytes) {
		onFailure(Verdict.ofMayHaveRun(ErrorCode.CONNECTION_LOST), detail);
	}

}
