package io.bulrushrouter.evacuation.sheet;

import java.util.Objects;

/**
 * The settings of a site's sheets.
 *
 * @param dateOrder the order of day, month and year
 * @param maxRows the greatest number of rows
 */
public record SheetFormat(DateOrder dateOrder, int maxRows) {

	/** The greatest number of rows unless a setting says otherwise. */
	public static final int DEFAULT_MAX_ROWS = 10_000;

	/**
	 * Checks the parts.
	 */
	public SheetFormat {
		Objects.requireNonNull(dateOrder);
	}

	/**
	 * Returns the format with the default limit.
	 * @param dateOrder the order of day, month and year
	 * @return the format
	 */
	public static SheetFormat of(DateOrder dateOrder) {
		return new SheetFormat(dateOrder, DEFAULT_MAX_ROWS);
	}

}
