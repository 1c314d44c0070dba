package io.bulrushrouter.bench.capacity;

import java.nio.charset.StandardCharsets;

import io.bulrushrouter.wire.ControlCodec;
import io.bulrushrouter.wire.WireMessage;

/**
 * Bytes that a control message takes on the network.
 */
final class FrameSizes {

	/** Headers of Ethernet, IP and TCP with time stamps, in bytes, for each message. */
	static final int HEADER_BYTES = 66;

	/** The frame's length and the message's type, in bytes. */
	private static final int FRAME_START_BYTES = 5;

	private static final int FIXSTR_LIMIT = 32;

	private static final int BIN8_LIMIT = 256;

	private static final int BIN16_LIMIT = 65_536;

	private FrameSizes() {
	}

	static int bytes(Record message) {
		return bytes(ControlCodec.encode(message));
	}

	static int bytes(WireMessage.Control control) {
		int topic = control.topic().getBytes(StandardCharsets.UTF_8).length;
		int payload = control.payload().length;
		int topicHeader = (topic < FIXSTR_LIMIT) ? 1 : 2;
		int payloadHeader = (payload < BIN8_LIMIT) ? 2 : (payload < BIN16_LIMIT) ? 3 : 5;
		return HEADER_BYTES + FRAME_START_BYTES + topicHeader + topic + payloadHeader + payload;
	}

}
