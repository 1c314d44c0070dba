package io.bulrushrouter.wire;

import java.util.concurrent.atomic.LongAdder;

/**
 * What a process has sent to other processes, in bytes with their frames' lengths.
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
	 * Returns the bytes of messages about requests.
	 * @return the bytes
	 */
	public long requestBytes() {
		return this.requestBytes.sum();
	}

	/**
	 * Returns the bytes of control messages.
	 * @return the bytes
	 */
	public long controlBytes() {
		return this.controlBytes.sum();
	}

}
