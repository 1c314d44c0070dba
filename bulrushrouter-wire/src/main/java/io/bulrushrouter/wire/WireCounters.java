package io.bulrushrouter.wire;

import java.util.concurrent.atomic.LongAdder;

/**
 * Counts the bytes that a process has sent to its peers, including the length prefix of
 * each frame.
 */
public final class WireCounters {

	private final LongAdder requestBytes = new LongAdder();

	private final LongAdder controlBytes = new LongAdder();

	WireCounters() {
	}

	void recordSent(WireMessage message, int bytes) {
		if (message instanceof WireMessage.CallEnvelope) {
			this.requestBytes.add(bytes);
		}
		else {
			this.controlBytes.add(bytes);
		}
	}

	/**
	 * Returns the size of all messages sent about requests.
	 * @return the size in bytes
	 */
	public long requestBytes() {
		return this.requestBytes.sum();
	}

	/**
	 * Returns the size of all other messages sent.
	 * @return the size in bytes
	 */
	public long controlBytes() {
		return this.controlBytes.sum();
	}

}
