package io.bulrushrouter.daemon.sidecar;

import java.io.ByteArrayOutputStream;
import java.nio.charset.StandardCharsets;
import java.util.Arrays;

/**
 * Cuts a stream of server-sent events so that each part holds whole events only.
 */
final class EventSplitter {

	private static final byte[] DONE = "data: [DONE]".getBytes(StandardCharsets.US_ASCII);

	private final ByteArrayOutputStream incomplete = new ByteArrayOutputStream();

	/**
	 * Takes bytes and returns the whole events that are there now.
	 * @param bytes what came
	 * @return the events, possibly none
	 */
	byte[] append(byte[] bytes) {
		this.incomplete.writeBytes(bytes);
		byte[] all = this.incomplete.toByteArray();
		int end = endOfLastEvent(all);
		this.incomplete.reset();
		this.incomplete.write(all, end, all.length - end);
		return (end == all.length) ? all : Arrays.copyOf(all, end);
	}

	/**
	 * Returns what came after the last whole event.
	 * @return the bytes
	 */
	byte[] remainder() {
		return this.incomplete.toByteArray();
	}

	/**
	 * Counts the events that carry generated text.
	 * @param events whole events
	 * @return the count
	 */
	static int countTokenEvents(byte[] events) {
		int count = 0;
		int start = 0;
		for (int i = 1; i < events.length; i++) {
			if (events[i] == '\n' && events[i - 1] == '\n') {
				if (events[start] == 'd' && !startsWith(events, start, DONE)) {
					count++;
				}
				start = i + 1;
			}
		}
		return count;
	}

	private static boolean startsWith(byte[] bytes, int from, byte[] prefix) {
		int end = from + prefix.length;
		return end <= bytes.length && Arrays.equals(bytes, from, end, prefix, 0, prefix.length);
	}

	private static int endOfLastEvent(byte[] bytes) {
		for (int i = bytes.length - 1; i > 0; i--) {
			if (bytes[i] == '\n' && bytes[i - 1] == '\n') {
				return i + 1;
			}
		}
		return 0;
	}

}
