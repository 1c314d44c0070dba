package io.bulrushrouter.evacuation.report;

import java.util.Locale;

import com.fasterxml.jackson.annotation.JsonValue;

/**
 * The points in time for which a report compares intended and observed state.
 */
public enum Horizon {

	/** The time of the report. */
	NOW,

	/** The end of the day of the last sheet. */
	END_OF_DAY,

	/** The end of the day by which the plan requires the unit to be gone. */
	PLAN_DATE;

	/**
	 * Returns the text of the horizon in reports.
	 * @return the text, such as {@code end-of-day}
	 */
	@JsonValue
	public String text() {
		return name().toLowerCase(Locale.ROOT).replace('_', '-');
	}

}
