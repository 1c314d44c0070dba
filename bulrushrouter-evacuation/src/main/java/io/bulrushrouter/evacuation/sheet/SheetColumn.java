package io.bulrushrouter.evacuation.sheet;

import java.util.Arrays;
import java.util.Locale;
import java.util.Optional;

/**
 * The columns of a sheet, in their usual order. Any order is accepted.
 */
enum SheetColumn {

	/** The date of the sheet. */
	DATE,

	/** {@code upstream}, {@code group}, {@code organisation} or {@code end}. */
	KIND,

	/** The name or, in the {@code end} row, the number of data rows. */
	NAME,

	/** The intended state at the end of the day. */
	STATE,

	/** The time of the stop. */
	STOP_HOUR,

	/** The data centre that an organisation moves to. */
	TO,

	/** Free text. */
	NOTE;

	String text() {
		return name().toLowerCase(Locale.ROOT).replace('_', '-');
	}

	boolean required() {
		return this != NOTE;
	}

	static Optional<SheetColumn> find(String text) {
		return Arrays.stream(values()).filter((column) -> column.text().equalsIgnoreCase(text.trim())).findFirst();
	}

}
