package io.bulrushrouter.evacuation.report;

import java.util.Locale;

import com.fasterxml.jackson.annotation.JsonValue;

/**
 * The status of a report line.
 */
public enum LineStatus {

	/** The intended state is reached. */
	MET,

	/** The intended state is expected to be reached in time. */
	ON_THE_WAY,

	/** The intended state is overdue or not expected to be reached in time. */
	SHORT;

	/**
	 * Returns the text of the status in reports.
	 * @return the text, such as {@code on-the-way}
	 */
	@JsonValue
	public String text() {
		return name().toLowerCase(Locale.ROOT).replace('_', '-');
	}

}
