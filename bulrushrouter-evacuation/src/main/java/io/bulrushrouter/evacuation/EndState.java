package io.bulrushrouter.evacuation;

import java.util.Arrays;
import java.util.Locale;
import java.util.Optional;

import com.fasterxml.jackson.annotation.JsonValue;

/**
 * The intended state of an upstream at the end of a day. The constants are in the order
 * in which an evacuation passes through them.
 */
public enum EndState {

	/** Accepts requests. */
	RUNNING,

	/** Accepts no new requests, but is not stopped. */
	LEAVING,

	/** Stopped. */
	GONE;

	/**
	 * Returns the state with the given text.
	 * @param text the text, such as {@code gone}; case is ignored
	 * @return the state, or empty if there is none
	 */
	public static Optional<EndState> find(String text) {
		return Arrays.stream(values()).filter((state) -> state.text().equalsIgnoreCase(text)).findFirst();
	}

	/**
	 * Returns the text that sheets and reports use for this state.
	 * @return the text, such as {@code gone}
	 */
	@JsonValue
	public String text() {
		return name().toLowerCase(Locale.ROOT);
	}

}
