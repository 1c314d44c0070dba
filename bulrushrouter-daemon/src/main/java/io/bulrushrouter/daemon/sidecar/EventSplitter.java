package io.bulrushrouter.daemon.sidecar;

import java.io.ByteArrayOutputStream;
import java.nio.charset.StandardCharsets;
import java.util.Arrays;

/**
 * Splits a stream of server-sent events into parts that contain complete events only.
 */
final class EventSplitter {

	private static final byte[] DONE = "data: [DONE]".getBytes(StandardCharsets.US_ASCII);

	private final ByteArrayOutputStream incomplete = new ByteArrayOutputStream();

	/**
	 * Appends received bytes and returns the events that are now complete.
	 * @param bytes the received bytes
	 * @return the complete events; empty if there are none
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
	 * Returns the bytes received after the last complete event.
	 * @return the incomplete event; empty if there is none
	 */
	byte[] remainder() {
		return this.incomplete.toByteArray();
	}

	/**
	 * Counts the events that carry generated text.
	 * @param events complete events
	 * @return the number of events
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
