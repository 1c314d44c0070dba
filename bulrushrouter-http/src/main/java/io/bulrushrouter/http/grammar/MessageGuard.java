package io.bulrushrouter.http.grammar;

import java.util.Optional;

import io.netty.buffer.ByteBuf;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInboundHandlerAdapter;
import io.netty.handler.codec.http.HttpMethod;
import io.netty.util.ReferenceCountUtil;

/**
 * Stands in front of the library's decoder and passes on what follows the grammar. The
 * decoder is lenient: it skips what it does not understand, and two readers of the same
 * bytes may see different messages. At the first violation a
 * {@link MalformedMessageException} is fired, behind the messages that ended before it,
 * and nothing else is passed on.
 */
public final class MessageGuard extends ChannelInboundHandlerAdapter {

	private final MessageScanner scanner;

	private MessageGuard(MessageScanner scanner) {
		this.scanner = scanner;
	}

	/**
	 * Creates a guard for the requests of a connection.
	 * @return the guard
	 */
	public static MessageGuard ofRequests() {
		return new MessageGuard(MessageScanner.ofRequests());
	}

	/**
	 * Creates a guard for the responses on a connection.
	 * @return the guard
	 */
	public static MessageGuard ofResponses() {
		return new MessageGuard(MessageScanner.ofResponses());
	}

	/**
	 * Expects the response to a request next. Without this call, responses to GET
	 * requests are expected.
	 * @param method the method of the request
	 */
	public void expectResponseTo(HttpMethod method) {
		this.scanner.expectResponseTo(method);
	}

	/**
	 * Returns how many lines were scanned, of heads, trailers and those that frame
	 * chunks.
	 * @return the number since the start
	 */
	public long lines() {
		return this.scanner.lines();
	}

	/**
	 * Returns whether a response has ended, or ends with the connection.
	 * @return whether the end of the connection would cut nothing off
	 */
	public boolean responseMayEnd() {
		return this.scanner.responseMayEnd();
	}

	@Override
	public void channelRead(ChannelHandlerContext context, Object message) {
		if (this.scanner.violation().isPresent()) {
			ReferenceCountUtil.release(message);
			return;
		}
		ByteBuf bytes = (ByteBuf) message;
		int ended = this.scanner.scan(bytes);
		Optional<Violation> violation = this.scanner.violation();
		if (violation.isEmpty()) {
			context.fireChannelRead(bytes);
			return;
		}
		if (ended > 0) {
			context.fireChannelRead(bytes.readRetainedSlice(ended));
		}
		bytes.release();
		context.fireExceptionCaught(new MalformedMessageException(violation.get(), this.scanner.unverifiedBytes()));
	}

}
