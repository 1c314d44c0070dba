package io.bulrushrouter.wire;

import java.util.Objects;

import io.bulrushrouter.request.CallMessage;

/**
 * What one frame holds.
 */
public sealed interface WireMessage {

	/**
	 * The first message of each side of a connection.
	 *
	 * @param instance the instance that the process runs on
	 * @param name the process's name, which for a sidecar is its upstream's
	 * @param role {@code entry} or {@code sidecar}
	 * @param dataCentre where the process is
	 * @param incarnation random at each start of the process
	 */
	record Hello(String instance, String name, String role, String dataCentre,
			long incarnation) implements WireMessage {

		/**
		 * Checks the parts.
		 */
		public Hello {
			Objects.requireNonNull(instance);
			Objects.requireNonNull(name);
			Objects.requireNonNull(role);
			Objects.requireNonNull(dataCentre);
		}

	}

	/**
	 * A message about one attempt.
	 *
	 * @param message the message
	 */
	record CallEnvelope(CallMessage message) implements WireMessage {
	}

	/**
	 * A message of one of the control protocols.
	 *
	 * @param topic the protocol and message type
	 * @param payload the message, see {@link ControlCodec}
	 */
	record Control(String topic, byte[] payload) implements WireMessage {
	}

}
