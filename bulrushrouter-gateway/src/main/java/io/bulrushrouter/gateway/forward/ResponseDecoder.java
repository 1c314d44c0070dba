package io.bulrushrouter.gateway.forward;

import io.netty.buffer.ByteBuf;
import io.netty.handler.codec.http.HttpDecoderConfig;
import io.netty.handler.codec.http.HttpMessage;
import io.netty.handler.codec.http.HttpMethod;
import io.netty.handler.codec.http.HttpResponseDecoder;

import io.bulrushrouter.http.CompactHeaders;

/**
 * Decodes the responses on one connection and tells whether bytes are left that belong to
 * none of them.
 */
final class ResponseDecoder extends HttpResponseDecoder {

	private static final int MAX_INITIAL_LINE_BYTES = 4_096;

	private static final int MAX_HEADER_BYTES = 32_768;

	private static final int MAX_CHUNK_BYTES = 16_384;

	private HttpMethod requestMethod = HttpMethod.GET;

	ResponseDecoder() {
		super(new HttpDecoderConfig().setMaxInitialLineLength(MAX_INITIAL_LINE_BYTES)
			.setMaxHeaderSize(MAX_HEADER_BYTES)
			.setMaxChunkSize(MAX_CHUNK_BYTES)
			.setHeadersFactory(CompactHeaders.FACTORY)
			.setTrailersFactory(CompactHeaders.FACTORY));
	}

	/**
	 * Sets the method of the request whose response is decoded next.
	 * @param method the method
	 */
	void expectResponseTo(HttpMethod method) {
		this.requestMethod = method;
	}

	/**
	 * Returns the bytes that have arrived and are not decoded.
	 * @return the bytes, still owned by the decoder
	 */
	ByteBuf undecoded() {
		return internalBuffer();
	}

	@Override
	protected boolean isContentAlwaysEmpty(HttpMessage response) {
		return this.requestMethod.equals(HttpMethod.HEAD) || super.isContentAlwaysEmpty(response);
	}

}
