package io.bulrushrouter.evacuation;

import java.util.Arrays;
import java.util.Locale;
import java.util.Optional;

import com.fasterxml.jackson.annotation.JsonValue;

/**
 * The state that is intended for an upstream at the end of a day, in the order in which
 * an evacuation passes through them.
 */
public enum EndState {

	/** Takes requests. */
	RUNNING,

	/** Takes no new request, and is not stopped. */
	LEAVING,

	/** Stopped. */
	GONE;

	/**
	 * Finds a state by its text.
	 * @param text such as {@code gone}, in any case
	 * @return the state, or empty if there is none
	 */
	public static Optional<EndState> find(String text) {
		return Arrays.stream(values()).filter((state) -> state.text().equalsIgnoreCase(text)).findFirst();
	}

	/**
	 * Returns the state's text in sheets and reports.
	 * @return such as {@code gone}
	 */
	@JsonValue
	public String text() {
		return name().toLowerCase(Locale.ROOT);
	}

}
