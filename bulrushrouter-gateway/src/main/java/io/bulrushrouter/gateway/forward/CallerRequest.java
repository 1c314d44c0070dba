package io.bulrushrouter.gateway.forward;

import io.netty.handler.codec.http.HttpRequest;

/**
 * A complete request of a caller.
 *
 * @param head the method, target and headers
 * @param body the complete body
 * @param arrivedNanos when its head was read, in nanoseconds on the monotonic clock
 */
record CallerRequest(HttpRequest head, byte[] body, long arrivedNanos) {

	String path() {
		String target = this.head.uri();
		int query = target.indexOf('?');
		return (query < 0) ? target : target.substring(0, query);
	}

	String header(String name) {
		return this.head.headers().get(name);
	}

}
