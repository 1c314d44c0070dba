package io.bulrushrouter.bench.capacity;

import java.nio.charset.StandardCharsets;

import io.bulrushrouter.wire.ControlCodec;
import io.bulrushrouter.wire.WireMessage;

/**
 * Bytes that a control message takes on the network.
 */
final class Frames {

	/** Headers of Ethernet, IP and TCP with time stamps, in bytes, for each message. */
	static final int HEADERS = 66;

	/** The frame's length and the message's type, in bytes. */
	private static final int START = 5;

	private static final int SHORT_STRING = 32;

	private static final int BYTE = 256;

	private static final int TWO_BYTES = 65_536;

	private Frames() {
	}

	static int bytes(Record message) {
		return bytes(ControlCodec.encode(message));
	}

	static int bytes(WireMessage.Control control) {
		int topic = control.topic().getBytes(StandardCharsets.UTF_8).length;
		int payload = control.payload().length;
		int topicHead = (topic < SHORT_STRING) ? 1 : 2;
		int payloadHead = (payload < BYTE) ? 2 : (payload < TWO_BYTES) ? 3 : 5;
		return HEADERS + START + topicHead + topic + payloadHead + payload;
	}

}
