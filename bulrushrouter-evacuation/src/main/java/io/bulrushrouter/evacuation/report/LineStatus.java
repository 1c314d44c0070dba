package io.bulrushrouter.evacuation.report;

import java.util.Locale;

import com.fasterxml.jackson.annotation.JsonValue;

/**
 * How a line of the report stands.
 */
public enum LineStatus {

	/** It is as intended. */
	MET,

	/** It is expected to be as intended in time. */
	ON_THE_WAY,

	/** It is not, or is not expected to be, as intended in time. */
	SHORT;

	/**
	 * Returns the status's text.
	 * @return such as {@code on-the-way}
	 */
	@JsonValue
	public String text() {
		return name().toLowerCase(Locale.ROOT).replace('_', '-');
	}

}
