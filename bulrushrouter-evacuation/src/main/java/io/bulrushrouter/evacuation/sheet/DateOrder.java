package io.bulrushrouter.evacuation.sheet;

import java.time.DateTimeException;
import java.time.LocalDate;
import java.util.Optional;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

/**
 * The order of day, month and year in a sheet's dates. ISO 8601 dates such as
 * {@code 2026-11-02} are accepted with every order.
 */
public enum DateOrder {

	/** ISO 8601 only. */
	ISO,

	/** Day first, such as {@code 2. 11. 2026} or {@code 02/11/2026}. */
	DAY_MONTH_YEAR,

	/** Month first, such as {@code 11/02/2026}. */
	MONTH_DAY_YEAR;

	private static final Pattern ISO_DATE = Pattern.compile("(\\d{4})-(\\d{2})-(\\d{2})");

	private static final Pattern NUMERIC_DATE = Pattern.compile("(\\d{1,2})[./-]\\s?(\\d{1,2})[./-]\\s?(\\d{4})");

	/**
	 * Parses a date.
	 * @param text the text of the cell, without surrounding spaces
	 * @return the date, or empty if the text is malformed or the day does not exist
	 */
	public Optional<LocalDate> parse(String text) {
		Matcher iso = ISO_DATE.matcher(text);
		if (iso.matches()) {
			return date(iso.group(1), iso.group(2), iso.group(3));
		}
		Matcher local = NUMERIC_DATE.matcher(text);
		if (this == ISO || !local.matches()) {
			return Optional.empty();
		}
		return (this == DAY_MONTH_YEAR) ? date(local.group(3), local.group(2), local.group(1))
				: date(local.group(3), local.group(1), local.group(2));
	}

	private static Optional<LocalDate> date(String year, String month, String day) {
		try {
			return Optional.of(LocalDate.of(Integer.parseInt(year), Integer.parseInt(month), Integer.parseInt(day)));
		}
		catch (DateTimeException ex) {
			return Optional.empty();
		}
	}

}
