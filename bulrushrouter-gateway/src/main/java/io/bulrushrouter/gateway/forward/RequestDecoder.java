package io.bulrushrouter.gateway.forward;

import java.util.List;

import io.netty.buffer.ByteBuf;
import io.netty.channel.ChannelHandlerContext;
import io.netty.handler.codec.http.HttpDecoderConfig;
import io.netty.handler.codec.http.HttpRequestDecoder;
import io.netty.handler.codec.http.LastHttpContent;
import io.netty.util.ByteProcessor;

import io.bulrushrouter.http.CompactHeaders;

/**
 * Decodes the requests on one connection and tells whether a head is incomplete.
 */
final class RequestDecoder extends HttpRequestDecoder {

	private static final int MAX_REQUEST_LINE_BYTES = 8_192;

	private static final int MAX_CHUNK_BYTES = 16_384;

	private boolean expectsHead = true;

	private boolean headIncomplete;

	RequestDecoder(int headerBytes) {
		super(new HttpDecoderConfig().setMaxInitialLineLength(Math.min(headerBytes, MAX_REQUEST_LINE_BYTES))
			.setMaxHeaderSize(headerBytes)
			.setMaxChunkSize(MAX_CHUNK_BYTES)
			.setHeadersFactory(CompactHeaders.FACTORY)
			.setTrailersFactory(CompactHeaders.FACTORY));
	}

	@Override
	protected void decode(ChannelHandlerContext context, ByteBuf buffer, List<Object> out) throws Exception {
		int before = out.size();
		// A line break behind a body, which some callers send, begins no head.
		boolean read = buffer.forEachByte(ByteProcessor.FIND_NON_CRLF) >= 0;
		super.decode(context, buffer, out);
		for (Object message : out.subList(before, out.size())) {
			this.expectsHead = message instanceof LastHttpContent;
			this.headIncomplete = false;
		}
		if (read && this.expectsHead && out.size() == before) {
			this.headIncomplete = true;
		}
	}

	/**
	 * Returns whether a part of a request head has arrived and the rest has not.
	 * @return whether a head is incomplete
	 */
	boolean headIncomplete() {
		return this.headIncomplete;
	}

}
