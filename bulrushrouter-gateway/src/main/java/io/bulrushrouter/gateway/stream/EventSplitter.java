package io.bulrushrouter.gateway.stream;

import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;

/**
 * Cuts the bytes of an event stream into whole events, so that nothing of an event is
 * passed on before all of it is there.
 */
public final class EventSplitter {

	/** The longest event; one is some tens of bytes. */
	private static final int MAX_EVENT_BYTES = 256 * 1024;

	private static final byte[] ID_FIELD = "id:".getBytes(StandardCharsets.US_ASCII);

	private final ByteBuf pending = Unpooled.buffer(256);

	/**
	 * Takes bytes and returns the events that they complete.
	 * @param bytes the bytes; the reader index moves to their end
	 * @return the events, in order
	 * @throws IllegalStateException if an event is too long
	 */
	public List<Event> split(ByteBuf bytes) {
		this.pending.discardReadBytes();
		int scanned = Math.max(0, this.pending.readableBytes() - 3);
		this.pending.writeBytes(bytes);
		List<Event> events = new ArrayList<>(2);
		int end = endOfEvent(this.pending.readerIndex() + scanned);
		while (end >= 0) {
			ByteBuf event = take(end - this.pending.readerIndex());
			events.add(new Event(event, identifier(event)));
			end = endOfEvent(this.pending.readerIndex());
		}
		if (this.pending.readableBytes() > MAX_EVENT_BYTES) {
			throw new IllegalStateException("an event of a stream is longer than " + MAX_EVENT_BYTES + " bytes");
		}
		return events;
	}

	private int endOfEvent(int from) {
		int writer = this.pending.writerIndex();
		for (int index = Math.max(from, this.pending.readerIndex()); index < writer; index++) {
			if (this.pending.getByte(index) != '\n') {
				continue;
			}
			int next = index + 1;
			if (next < writer && this.pending.getByte(next) == '\r') {
				next++;
			}
			if (next < writer && this.pending.getByte(next) == '\n') {
				return next + 1;
			}
		}
		return -1;
	}

	/**
	 * Returns the bytes after the last whole event.
	 * @return the bytes, none if the stream stands between two events
	 */
	public ByteBuf remainder() {
		return take(this.pending.readableBytes());
	}

	private ByteBuf take(int length) {
		byte[] bytes = new byte[length];
		this.pending.readBytes(bytes);
		return Unpooled.wrappedBuffer(bytes);
	}

	private static Optional<String> identifier(ByteBuf event) {
		int index = event.readerIndex();
		int end = event.writerIndex();
		while (index < end) {
			int newline = event.indexOf(index, end, (byte) '\n');
			int lineEnd = (newline < 0) ? end : newline;
			if (startsWith(event, index, lineEnd)) {
				int from = index + ID_FIELD.length;
				return Optional.of(event.toString(from, lineEnd - from, StandardCharsets.UTF_8).strip());
			}
			index = lineEnd + 1;
		}
		return Optional.empty();
	}

	private static boolean startsWith(ByteBuf event, int index, int end) {
		if (end - index < ID_FIELD.length) {
			return false;
		}
		for (int offset = 0; offset < ID_FIELD.length; offset++) {
			if (event.getByte(index + offset) != ID_FIELD[offset]) {
				return false;
			}
		}
		return true;
	}

	/**
	 * A whole event.
	 *
	 * @param bytes its bytes, with the empty line at the end
	 * @param id its identifier, if it has one
	 */
	public record Event(ByteBuf bytes, Optional<String> id) {
	}

}
