package io.bulrushrouter.gateway.stream;

import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import io.netty.util.ByteProcessor;

/**
 * Splits the bytes of a stream of server-sent events into complete events, so that no
 * part of an event is forwarded before all of it has arrived. Not thread-safe.
 */
public final class EventSplitter {

	/**
	 * Bound of the memory that an event without an end can take; a usual event has some
	 * tens of bytes.
	 */
	private static final int MAX_EVENT_BYTES = 256 * 1024;

	private static final byte[] ID_FIELD = "id:".getBytes(StandardCharsets.US_ASCII);

	private final ByteBuf pending = Unpooled.buffer(256);

	/**
	 * Adds bytes of the stream and returns the events that they complete.
	 * @param bytes the bytes; all of them are read
	 * @return the events in the order of the stream
	 * @throws IllegalStateException if an event is longer than the limit
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
			throw new IllegalStateException("event of a stream exceeds the limit of " + MAX_EVENT_BYTES + " bytes");
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
	 * Returns how many bytes of an event have arrived without its end.
	 * @return the number of bytes, 0 between two events
	 */
	public int unfinishedBytes() {
		int first = this.pending.forEachByte(ByteProcessor.FIND_NON_CRLF);
		return (first < 0) ? 0 : this.pending.writerIndex() - first;
	}

	/**
	 * Returns how many bytes have arrived after the last complete event.
	 * @return the number of bytes, line breaks between events included
	 */
	public int pendingBytes() {
		return this.pending.readableBytes();
	}

	/**
	 * Removes and returns the bytes after the last complete event.
	 * @return the bytes, empty if the stream ended with a complete event
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
			if (startsWithIdField(event, index, lineEnd)) {
				int from = index + ID_FIELD.length;
				return Optional.of(event.toString(from, lineEnd - from, StandardCharsets.UTF_8).strip());
			}
			index = lineEnd + 1;
		}
		return Optional.empty();
	}

	private static boolean startsWithIdField(ByteBuf event, int index, int end) {
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
	 * A complete event.
	 *
	 * @param bytes the bytes, including the empty line at the end
	 * @param id the value of its {@code id} field, empty if it has none
	 */
	public record Event(ByteBuf bytes, Optional<String> id) {
	}

}
