package io.bulrushrouter.gateway.forward;

import java.util.List;

import io.netty.buffer.ByteBuf;
import io.netty.channel.ChannelHandlerContext;
import io.netty.handler.codec.http.HttpMessage;
import io.netty.handler.codec.http.HttpRequestDecoder;
import io.netty.handler.codec.http.LastHttpContent;

/**
 * Netty's request decoder without the tolerance that lets two readers of the same bytes
 * see two different requests.
 */
final class StrictRequestDecoder extends HttpRequestDecoder {

	private static final int LONGEST_REQUEST_LINE = 8_192;

	private static final int LARGEST_CHUNK = 16_384;

	private boolean atHead = true;

	private boolean midHead;

	StrictRequestDecoder(int headerBytes) {
		super(Math.min(headerBytes, LONGEST_REQUEST_LINE), headerBytes, LARGEST_CHUNK, true);
	}

	@Override
	protected void decode(ChannelHandlerContext context, ByteBuf buffer, List<Object> out) throws Exception {
		if (this.atHead && foldsHeader(buffer)) {
			throw new IllegalArgumentException("a header is folded over two lines");
		}
		int before = out.size();
		boolean read = buffer.isReadable();
		super.decode(context, buffer, out);
		for (Object message : out.subList(before, out.size())) {
			this.atHead = message instanceof LastHttpContent;
			this.midHead = false;
		}
		if (read && this.atHead && out.size() == before) {
			this.midHead = true;
		}
	}

	/**
	 * Tells whether a part of a head has come.
	 * @return whether the rest of a head is due
	 */
	boolean midHead() {
		return this.midHead;
	}

	private static boolean foldsHeader(ByteBuf buffer) {
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
		throw new IllegalArgumentException("a request has a length and is sent in chunks");
	}

}
