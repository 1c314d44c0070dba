package io.bulrushrouter.evacuation.report;

import java.util.Locale;

import com.fasterxml.jackson.annotation.JsonValue;

/**
 * The times for which a report judges.
 */
public enum Horizon {

	/** The time of the report. */
	NOW,

	/** The end of the last sheet's day. */
	END_OF_DAY,

	/** The day by which the plan wants it gone. */
	PLAN_DATE;

	/**
	 * Returns the horizon's text.
	 * @return such as {@code end-of-day}
	 */
	@JsonValue
	public String text() {
		return name().toLowerCase(Locale.ROOT).replace('_', '-');
	}

}
