package io.bulrushrouter.evacuation.sheet;

import java.util.Objects;

/**
 * The format settings for the sheets of a site.
 *
 * @param dateOrder the order of day, month and year in dates
 * @param maxRows the maximum number of data rows
 */
public record SheetFormat(DateOrder dateOrder, int maxRows) {

	/** The default maximum number of data rows. */
	public static final int DEFAULT_MAX_ROWS = 10_000;

	/**
	 * Rejects null components.
	 */
	public SheetFormat {
		Objects.requireNonNull(dateOrder);
	}

	/**
	 * Returns a format with the default maximum number of rows.
	 * @param dateOrder the order of day, month and year in dates
	 * @return the format
	 */
	public static SheetFormat of(DateOrder dateOrder) {
		return new SheetFormat(dateOrder, DEFAULT_MAX_ROWS);
	}

}
