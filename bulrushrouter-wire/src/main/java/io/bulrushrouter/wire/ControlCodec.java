package io.bulrushrouter.wire;

import java.io.IOException;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.DeserializationFeature;
import com.fasterxml.jackson.databind.ObjectMapper;
import org.msgpack.jackson.dataformat.MessagePackFactory;

import io.bulrushrouter.kernel.BulrushException;
import io.bulrushrouter.kernel.ErrorCode;

/**
 * Encodes the records of the control protocols as MessagePack and decodes them. Fields
 * that a record does not have are ignored when decoding.
 */
public final class ControlCodec {

	private static final ObjectMapper MAPPER = new ObjectMapper(new MessagePackFactory())
		.configure(DeserializationFeature.FAIL_ON_UNKNOWN_PROPERTIES, false);

	private ControlCodec() {
	}

	/**
	 * Encodes a record, with the simple name of its class as the topic.
	 * @param message the record
	 * @return the control message
	 */
	public static WireMessage.Control encode(Record message) {
		return encode(message.getClass().getSimpleName(), message);
	}

	/**
	 * Encodes a record.
	 * @param topic the topic of the message
	 * @param message the record
	 * @return the control message
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
	 * Decodes the record of a control message.
	 * @param control the control message
	 * @param type the class of the record
	 * @param <T> the type of the record
	 * @return the record
	 * @throws BulrushException with {@link ErrorCode#BAD_REQUEST} if the payload is
	 * malformed
	 */
	public static <T extends Record> T decode(WireMessage.Control control, Class<T> type) {
		try {
			return MAPPER.readValue(control.payload(), type);
		}
		catch (IOException ex) {
			throw new BulrushException(ErrorCode.BAD_REQUEST, "malformed control message: " + control.topic(), ex);
		}
	}

}
