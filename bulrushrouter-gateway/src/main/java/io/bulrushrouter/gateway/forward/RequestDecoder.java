package io.bulrushrouter.gateway.forward;

import java.util.List;

import io.netty.buffer.ByteBuf;
import io.netty.channel.ChannelHandlerContext;
import io.netty.handler.codec.http.HttpDecoderConfig;
import io.netty.handler.codec.http.HttpHeaders;
import io.netty.handler.codec.http.HttpHeadersFactory;
import io.netty.handler.codec.http.HttpMessage;
import io.netty.handler.codec.http.HttpRequest;
import io.netty.handler.codec.http.HttpRequestDecoder;
import io.netty.handler.codec.http.LastHttpContent;
import io.netty.util.ByteProcessor;

import io.bulrushrouter.http.CompactHeaders;

/**
 * Decodes the requests on one connection, and tells whether a head is incomplete and how
 * much memory is taken by what is not complete.
 */
final class RequestDecoder extends HttpRequestDecoder {

	private static final int MAX_REQUEST_LINE_BYTES = 8_192;

	private static final int MAX_CHUNK_BYTES = 16_384;

	/** Memory of a request line and its objects besides its characters. */
	private static final int REQUEST_LINE_BYTES = 128;

	private final int headerBytes;

	private final Arriving arriving;

	private final Runnable onRead;

	private boolean expectsHead = true;

	private boolean headIncomplete;

	/**
	 * Creates a decoder.
	 * @param headerBytes the limit of a head
	 * @param onRead called when the bytes of a read are decoded
	 */
	RequestDecoder(int headerBytes, Runnable onRead) {
		this(headerBytes, onRead, new Arriving());
	}

	private RequestDecoder(int headerBytes, Runnable onRead, Arriving arriving) {
		super(new HttpDecoderConfig().setMaxInitialLineLength(Math.min(headerBytes, MAX_REQUEST_LINE_BYTES))
			.setMaxHeaderSize(headerBytes)
			.setMaxChunkSize(MAX_CHUNK_BYTES)
			.setHeadersFactory(arriving)
			.setTrailersFactory(arriving));
		this.headerBytes = headerBytes;
		this.arriving = arriving;
		this.onRead = onRead;
	}

	/**
	 * Returns the memory that a decoded head takes.
	 * @param request the head
	 * @return the number of bytes
	 */
	static int headBytes(HttpRequest request) {
		return REQUEST_LINE_BYTES + request.uri().length() + ((CompactHeaders) request.headers()).heldBytes();
	}

	@Override
	public void channelRead(ChannelHandlerContext context, Object message) throws Exception {
		super.channelRead(context, message);
		this.onRead.run();
	}

	@Override
	protected HttpMessage createMessage(String[] requestLine) throws Exception {
		this.arriving.requestLineBytes = REQUEST_LINE_BYTES + requestLine[1].length();
		return super.createMessage(requestLine);
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
			this.arriving.clear();
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

	/**
	 * Returns the limit of a head.
	 * @return the number of bytes
	 */
	int headerBytes() {
		return this.headerBytes;
	}

	/**
	 * Returns whether all that has arrived is decoded and a head follows.
	 * @return whether another decoder may take the place of this one
	 */
	boolean atRest() {
		return this.expectsHead && !this.headIncomplete && heldBytes() == 0;
	}

	/**
	 * Returns the memory of what has arrived and does not yet make up a message.
	 * @return the number of bytes
	 */
	long heldBytes() {
		return internalBuffer().capacity() + this.arriving.heldBytes();
	}

	@Override
	protected void handlerRemoved0(ChannelHandlerContext context) throws Exception {
		super.handlerRemoved0(context);
		this.arriving.clear();
		this.headIncomplete = false;
	}

	/**
	 * The fields of the message that arrives.
	 */
	private static final class Arriving implements HttpHeadersFactory {

		private CompactHeaders fields;

		private int requestLineBytes;

		@Override
		public HttpHeaders newHeaders() {
			this.fields = new CompactHeaders();
			return this.fields;
		}

		@Override
		public HttpHeaders newEmptyHeaders() {
			return newHeaders();
		}

		private void clear() {
			this.fields = null;
			this.requestLineBytes = 0;
		}

		private int heldBytes() {
			return this.requestLineBytes + ((this.fields != null) ? this.fields.heldBytes() : 0);
		}

	}

}
