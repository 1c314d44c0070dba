package io.bulrushrouter.gateway.forward;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import io.netty.handler.codec.http.DefaultFullHttpResponse;
import io.netty.handler.codec.http.DefaultHttpResponse;
import io.netty.handler.codec.http.EmptyHttpHeaders;
import io.netty.handler.codec.http.FullHttpResponse;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpHeaderValues;
import io.netty.handler.codec.http.HttpHeaders;
import io.netty.handler.codec.http.HttpMethod;
import io.netty.handler.codec.http.HttpRequest;
import io.netty.handler.codec.http.HttpResponse;
import io.netty.handler.codec.http.HttpResponseStatus;
import io.netty.handler.codec.http.HttpVersion;

/**
 * Frames responses as the version and method of their requests require. The head of the
 * request is {@code null} if it could not be read.
 */
final class ResponseHeads {

	private ResponseHeads() {
	}

	/**
	 * Creates a complete response.
	 * @param request the head of the request
	 * @param status the status
	 * @param headers the headers, without those that frame the body; the response owns
	 * them
	 * @param content the body, left out in the response to a HEAD request
	 * @return the response
	 */
	static FullHttpResponse ofComplete(HttpRequest request, HttpResponseStatus status, HttpHeaders headers,
			ByteBuf content) {
		boolean headOnly = request != null && request.method().equals(HttpMethod.HEAD);
		FullHttpResponse response = new DefaultFullHttpResponse(HttpVersion.HTTP_1_1, status,
				headOnly ? Unpooled.EMPTY_BUFFER : content, headers, EmptyHttpHeaders.INSTANCE);
		if (status.code() != 204 && status.code() != 304) {
			response.headers().set(HttpHeaderNames.CONTENT_LENGTH, content.readableBytes());
		}
		return response;
	}

	/**
	 * Creates the head of a response of unknown length.
	 * @param request the head of the request
	 * @param status the status
	 * @param headers the headers, without those that frame the body; the response owns
	 * them
	 * @return the head
	 */
	static HttpResponse ofStreamed(HttpRequest request, HttpResponseStatus status, HttpHeaders headers) {
		HttpResponse response = new DefaultHttpResponse(HttpVersion.HTTP_1_1, status, headers);
		if (!readsToEndOfConnection(request)) {
			response.headers().set(HttpHeaderNames.TRANSFER_ENCODING, HttpHeaderValues.CHUNKED);
		}
		return response;
	}

	/**
	 * Returns whether the caller takes the end of the connection for the end of the
	 * response.
	 * @param request the head of the request
	 * @return whether it is a request of HTTP/1.0
	 */
	static boolean readsToEndOfConnection(HttpRequest request) {
		return request != null && request.protocolVersion().equals(HttpVersion.HTTP_1_0);
	}

	/**
	 * Sets the header that says whether the connection stays open.
	 * @param response the response
	 * @param request the head of the request
	 * @param keepAlive whether it stays open
	 */
	static void setConnection(HttpResponse response, HttpRequest request, boolean keepAlive) {
		if (!keepAlive) {
			response.headers().set(HttpHeaderNames.CONNECTION, HttpHeaderValues.CLOSE);
		}
		else if (readsToEndOfConnection(request)) {
			response.headers().set(HttpHeaderNames.CONNECTION, HttpHeaderValues.KEEP_ALIVE);
		}
	}

}
