package io.bulrushrouter.wire;

import java.io.IOException;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.DeserializationFeature;
import com.fasterxml.jackson.databind.ObjectMapper;
import org.msgpack.jackson.dataformat.MessagePackFactory;

import io.bulrushrouter.kernel.BulrushException;
import io.bulrushrouter.kernel.ErrorCode;

/**
 * Turns the records of control protocols into MessagePack and back.
 */
public final class ControlCodec {

	private static final ObjectMapper MAPPER = new ObjectMapper(new MessagePackFactory())
		.configure(DeserializationFeature.FAIL_ON_UNKNOWN_PROPERTIES, false);

	private ControlCodec() {
	}

	/**
	 * Returns a control message whose topic is the record's simple name.
	 * @param message the record
	 * @return the message
	 */
	public static WireMessage.Control encode(Record message) {
		return encode(message.getClass().getSimpleName(), message);
	}

	/**
	 * Returns a control message.
	 * @param topic its topic
	 * @param message the record
	 * @return the message
	 */
	public static WireMessage.Control encode(String topic, Record message) {
		try {
			return new WireMessage.Control(topic, MAPPER.writeValueAsBytes(message));
		}
		catch (JsonProcessingException ex) {
			throw new BulrushException(ErrorCode.INTERNAL, "cannot encode " + message, ex);
		}
	}

	/**
	 * Returns the record that a control message holds.
	 * @param control the message
	 * @param type the record's type
	 * @param <T> the record's type
	 * @return the record
	 * @throws BulrushException with {@link ErrorCode#BAD_REQUEST} if it is malformed
	 */
	public static <T extends Record> T decode(WireMessage.Control control, Class<T> type) {
		try {
			return MAPPER.readValue(control.payload(), type);
		}
		catch (IOException ex) {
			throw new BulrushException(ErrorCode.BAD_REQUEST, "malformed " + control.topic(), ex);
		}
	}

}
