package io.bulrushrouter.evacuation.sheet;

import java.time.LocalDate;
import java.util.List;
import java.util.Objects;
import java.util.stream.Collectors;

import com.dynatrace.hash4j.hashing.Hashing;

import io.bulrushrouter.evacuation.Fleet;

/**
 * The daily sheet in which the planners list the intended states and moves for the end of
 * one day.
 *
 * <pre>{@code
 * SheetParseResult result = MorningSheet.parse(bytes, SheetFormat.of(DateOrder.DAY_MONTH_YEAR), fleet);
 * }</pre>
 *
 * @param date the day
 * @param rows the rows in the order of the file, with at most one row for each name
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
	 * Parses a CSV file.
	 * @param bytes the file in UTF-8, with or without a byte order mark
	 * @param format the format settings of the site
	 * @param fleet the inventory, which must contain every name in the file
	 * @return the sheet, or all errors
	 */
	public static SheetParseResult parse(byte[] bytes, SheetFormat format, Fleet fleet) {
		return SheetReader.read(bytes, format, fleet);
	}

	/**
	 * Returns a digest of the date and the rows. It does not depend on the order of the
	 * rows, on notes or on the file format.
	 * @return 16 hexadecimal digits
	 */
	public String digest() {
		String text = this.rows.stream().map(SheetRow::canonicalText).sorted().collect(Collectors.joining("\n"));
		long hash = Hashing.komihash5_0().hashCharsToLong(this.date + "\n" + text);
		return String.format("%016x", hash);
	}

	/**
	 * Returns the rows of one type.
	 * @param kind the class of the rows
	 * @param <T> the type of the rows
	 * @return the rows in the order of the file
	 */
	public <T extends SheetRow> List<T> rows(Class<T> kind) {
		return this.rows.stream().filter(kind::isInstance).map(kind::cast).toList();
	}

}
