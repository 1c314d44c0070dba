package io.bulrushrouter.evacuation.sheet;

import java.util.Arrays;
import java.util.Locale;
import java.util.Optional;

/**
 * The columns of a sheet, in their usual order.
 */
enum SheetColumn {

	/** The sheet's day. */
	DATE,

	/** {@code upstream}, {@code group}, {@code organisation} or {@code end}. */
	KIND,

	/** The name, or the number of rows for {@code end}. */
	NAME,

	/** The intended state at the end of the day. */
	STATE,

	/** The hour of the stop. */
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
