package io.bulrushrouter.evacuation.sheet;

import java.time.LocalDate;
import java.util.List;
import java.util.Objects;
import java.util.stream.Collectors;

import com.dynatrace.hash4j.hashing.Hashing;

import io.bulrushrouter.evacuation.Fleet;

/**
 * What the planners intend for the end of one day.
 *
 * <pre>{@code
 * SheetResult result = MorningSheet.parse(bytes, SheetFormat.of(DateOrder.DAY_MONTH_YEAR), fleet);
 * }</pre>
 *
 * @param date the day
 * @param rows the rows in the file's order, each name once
 */
public record MorningSheet(LocalDate date, List<SheetRow> rows) {

	/**
	 * Copies the rows.
	 */
	public MorningSheet {
		Objects.requireNonNull(date);
		rows = List.copyOf(rows);
	}

	/**
	 * Reads a CSV file.
	 * @param bytes the file in UTF-8, with or without a byte order mark
	 * @param format the site's settings
	 * @param fleet the inventory that names must be in
	 * @return the sheet, or every error
	 */
	public static SheetParseResult parse(byte[] bytes, SheetFormat format, Fleet fleet) {
		return SheetReader.read(bytes, format, fleet);
	}

	/**
	 * Returns a digest that is the same for sheets of the same content, whatever the
	 * order of their rows, their notes and their file's format.
	 * @return 16 hexadecimal digits
	 */
	public String digest() {
		String text = this.rows.stream().map(SheetRow::canonicalText).sorted().collect(Collectors.joining("\n"));
		long hash = Hashing.komihash5_0().hashCharsToLong(this.date + "\n" + text);
		return String.format("%016x", hash);
	}

	/**
	 * Returns the rows of one kind.
	 * @param kind the kind
	 * @param <T> the kind's type
	 * @return the rows in the file's order
	 */
	public <T extends SheetRow> List<T> rows(Class<T> kind) {
		return this.rows.stream().filter(kind::isInstance).map(kind::cast).toList();
	}

}
