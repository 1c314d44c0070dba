package io.bulrushrouter.gateway.forward;

import io.netty.buffer.ByteBuf;
import io.netty.handler.codec.http.HttpResponse;

import io.bulrushrouter.kernel.Verdict;

/**
 * Is told what comes of a request that was sent to an upstream.
 */
interface Attempt {

	/**
	 * The answer's head.
	 * @param head status and headers
	 */
	void head(HttpResponse head);

	/**
	 * A part of the answer's body.
	 * @param part the bytes, which belong to the receiver
	 */
	void content(ByteBuf part);

	/**
	 * The answer is whole.
	 */
	void end();

	/**
	 * There will be no whole answer.
	 * @param verdict whether the request may have run, and why it failed
	 * @param detail details for the log
	 */
	void failed(Verdict verdict, String detail);

}
