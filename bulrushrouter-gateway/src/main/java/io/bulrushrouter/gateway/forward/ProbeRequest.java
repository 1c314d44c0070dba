package io.bulrushrouter.gateway.forward;

import io.netty.handler.codec.http.DefaultFullHttpRequest;
import io.netty.handler.codec.http.FullHttpRequest;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpHeaderValues;
import io.netty.handler.codec.http.HttpMethod;
import io.netty.handler.codec.http.HttpVersion;

import io.bulrushrouter.gateway.source.UpstreamRecord;

/**
 * Requests by which an entry asks an upstream about itself.
 */
final class ProbeRequest {

	private ProbeRequest() {
	}

	/**
	 * Creates a request on a connection that is closed after it.
	 * @param upstream the upstream
	 * @param path the path that answers it
	 * @return the request
	 */
	static FullHttpRequest of(UpstreamRecord upstream, String path) {
		FullHttpRequest request = new DefaultFullHttpRequest(HttpVersion.HTTP_1_1, HttpMethod.GET, path);
		request.headers()
			.set(HttpHeaderNames.HOST, upstream.address().getHostString())
			.set(HttpHeaderNames.CONNECTION, HttpHeaderValues.CLOSE);
		return request;
	}

}
