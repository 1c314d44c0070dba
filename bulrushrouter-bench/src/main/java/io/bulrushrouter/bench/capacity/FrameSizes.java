package io.bulrushrouter.bench.capacity;

import java.nio.charset.StandardCharsets;

import io.bulrushrouter.wire.ControlCodec;
import io.bulrushrouter.wire.WireMessage;

/**
 * Computes the size of control messages on the network.
 */
final class FrameSizes {

	/** Ethernet, IP and TCP headers (with TCP timestamps) of each message, in bytes. */
	static final int HEADER_BYTES = 66;

	/** The frame length and message type fields, in bytes. */
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
