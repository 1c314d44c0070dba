package io.bulrushrouter.gateway.forward;

import java.util.List;

import io.netty.buffer.ByteBuf;
import io.netty.channel.ChannelHandlerContext;
import io.netty.handler.codec.http.HttpMessage;
import io.netty.handler.codec.http.HttpRequestDecoder;
import io.netty.handler.codec.http.LastHttpContent;
import io.netty.util.ByteProcessor;

/**
 * Netty's request decoder without the leniency that allows request smuggling: header
 * folding, and a content length together with chunked transfer coding.
 */
final class StrictRequestDecoder extends HttpRequestDecoder {

	private static final int MAX_REQUEST_LINE_BYTES = 8_192;

	private static final int MAX_CHUNK_BYTES = 16_384;

	private boolean expectsHead = true;

	private boolean headIncomplete;

	StrictRequestDecoder(int headerBytes) {
		super(Math.min(headerBytes, MAX_REQUEST_LINE_BYTES), headerBytes, MAX_CHUNK_BYTES, true);
	}

	@Override
	protected void decode(ChannelHandlerContext context, ByteBuf buffer, List<Object> out) throws Exception {
		if (this.expectsHead && hasFoldedHeader(buffer)) {
			throw new IllegalArgumentException("a header is folded over several lines");
		}
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

	private static boolean hasFoldedHeader(ByteBuf buffer) {
		int end = buffer.writerIndex();
		int newline = buffer.indexOf(buffer.readerIndex(), end, (byte) '\n');
		while (newline >= 0 && newline + 1 < end) {
			byte next = buffer.getByte(newline + 1);
			if (next == ' ' || next == '\t') {
				return true;
			}
			if (next == '\r' || next == '\n') {
				return false;
			}
			newline = buffer.indexOf(newline + 1, end, (byte) '\n');
		}
		return false;
	}

	@Override
	protected void handleTransferEncodingChunkedWithContentLength(HttpMessage message) {
		throw new IllegalArgumentException("a request has both a Content-Length and a chunked body");
	}

}
