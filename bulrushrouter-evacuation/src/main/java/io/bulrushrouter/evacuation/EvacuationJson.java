package io.bulrushrouter.evacuation;

import java.io.IOException;
import java.io.UncheckedIOException;

import com.fasterxml.jackson.annotation.JsonCreator;
import com.fasterxml.jackson.annotation.JsonInclude;
import com.fasterxml.jackson.annotation.JsonValue;
import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.DeserializationFeature;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.SerializationFeature;
import com.fasterxml.jackson.databind.json.JsonMapper;
import com.fasterxml.jackson.datatype.jdk8.Jdk8Module;
import com.fasterxml.jackson.datatype.jsr310.JavaTimeModule;

import io.bulrushrouter.kernel.BulrushException;
import io.bulrushrouter.kernel.DataCentreId;
import io.bulrushrouter.kernel.ErrorCode;
import io.bulrushrouter.kernel.GroupId;
import io.bulrushrouter.kernel.ModelId;
import io.bulrushrouter.kernel.OrganisationId;
import io.bulrushrouter.kernel.UpstreamId;

/**
 * Reads and writes plans, states and reports as JSON. Identifiers are written as strings,
 * dates and times in ISO 8601. Unknown fields are ignored, so that an older version can
 * read what a newer one wrote.
 */
public final class EvacuationJson {

	private static final ObjectMapper MAPPER = JsonMapper.builder()
		.addModule(new Jdk8Module())
		.addModule(new JavaTimeModule())
		.disable(SerializationFeature.WRITE_DATES_AS_TIMESTAMPS)
		.disable(SerializationFeature.WRITE_DURATIONS_AS_TIMESTAMPS)
		.disable(DeserializationFeature.FAIL_ON_UNKNOWN_PROPERTIES)
		.serializationInclusion(JsonInclude.Include.NON_ABSENT)
		.addMixIn(UpstreamId.class, Identifier.class)
		.addMixIn(GroupId.class, Identifier.class)
		.addMixIn(OrganisationId.class, Identifier.class)
		.addMixIn(DataCentreId.class, Identifier.class)
		.addMixIn(ModelId.class, Identifier.class)
		.build();

	private EvacuationJson() {
	}

	/**
	 * Writes a value as JSON.
	 * @param value a plan, a state or a report
	 * @return the JSON text in UTF-8
	 */
	public static byte[] write(Object value) {
		try {
			return MAPPER.writeValueAsBytes(value);
		}
		catch (JsonProcessingException ex) {
			throw new UncheckedIOException(ex);
		}
	}

	/**
	 * Writes a value as indented JSON, for display.
	 * @param value a plan, a state or a report
	 * @return the JSON text
	 */
	public static String writePretty(Object value) {
		try {
			return MAPPER.writerWithDefaultPrettyPrinter().writeValueAsString(value);
		}
		catch (JsonProcessingException ex) {
			throw new UncheckedIOException(ex);
		}
	}

	/**
	 * Reads a value from JSON.
	 * @param json the JSON text in UTF-8
	 * @param type the value's class
	 * @param <T> the value's type
	 * @return the value
	 * @throws BulrushException with {@link ErrorCode#BAD_REQUEST} if it is malformed
	 */
	public static <T> T read(byte[] json, Class<T> type) {
		try {
			return MAPPER.readValue(json, type);
		}
		catch (IOException ex) {
			throw new BulrushException(ErrorCode.BAD_REQUEST,
					"invalid JSON for " + type.getSimpleName() + ": " + ex.getMessage(), ex);
		}
	}

	/**
	 * Mix-in that makes Jackson write an identifier as a plain string.
	 *
	 * @param value the text
	 */
	private record Identifier(@JsonValue String value) {

		@JsonCreator(mode = JsonCreator.Mode.DELEGATING)
		private Identifier {
		}

	}

}
