package io.bulrushrouter.gateway.forward;

import io.netty.buffer.ByteBuf;
import io.netty.handler.codec.http.HttpResponse;

import io.bulrushrouter.kernel.Verdict;

/**
 * Is told what comes of a request that was sent to an upstream.
 */
interface ResponseHandler {

	/**
	 * The answer's head.
	 * @param head status and headers
	 */
	void onHead(HttpResponse head);

	/**
	 * A part of the answer's body.
	 * @param part the bytes, which belong to the receiver
	 */
	void onContent(ByteBuf part);

	/**
	 * The answer is whole.
	 */
	void onEnd();

	/**
	 * There will be no whole answer.
	 * @param verdict whether the request may have run, and why it failed
	 * @param detail details for the log
	 */
	void onFailure(Verdict verdict, String detail);

}
