package io.bulrushrouter.wire;

import java.util.Objects;

import io.bulrushrouter.request.CallMessage;

/**
 * The content of one frame.
 */
public sealed interface WireMessage {

	/**
	 * Introduces a process; the first message that each side of a connection sends.
	 *
	 * @param instance the instance that the process runs on
	 * @param name the name of the process, which for a sidecar is that of its upstream
	 * @param role the role of the process, {@code entry} or {@code sidecar}
	 * @param dataCentre the data centre that the process runs in
	 * @param incarnation a random number drawn at each start of the process
	 */
	record Hello(String instance, String name, String role, String dataCentre,
			long incarnation) implements WireMessage {

		/**
		 * Creates a message whose components must not be null.
		 */
		public Hello {
			Objects.requireNonNull(instance);
			Objects.requireNonNull(name);
			Objects.requireNonNull(role);
			Objects.requireNonNull(dataCentre);
		}

	}

	/**
	 * Carries a message about one attempt of a request.
	 *
	 * @param message the message
	 */
	record CallEnvelope(CallMessage message) implements WireMessage {
	}

	/**
	 * Carries a message of one of the control protocols.
	 *
	 * @param topic the topic, which names the protocol and the type of the message
	 * @param payload the record of the message, encoded by {@link ControlCodec}
	 */
	record Control(String topic, byte[] payload) implements WireMessage {
	}

}
