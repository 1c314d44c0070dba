package io.bulrushrouter.evacuation.sheet;

import java.io.IOException;
import java.io.StringReader;
import java.io.UncheckedIOException;
import java.nio.charset.StandardCharsets;
import java.time.LocalDate;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.EnumMap;
import java.util.HashMap;
import java.util.Iterator;
import java.util.List;
import java.util.Map;
import java.util.Optional;

import org.apache.commons.csv.CSVFormat;
import org.apache.commons.csv.CSVParser;
import org.apache.commons.csv.CSVRecord;

import io.bulrushrouter.evacuation.Fleet;

/**
 * Parses the file of a sheet: header, data rows and end row. All errors are collected.
 * Only a malformed quoted cell ends parsing early, since the cells after it cannot be
 * delimited.
 */
final class SheetReader {

	private static final String BYTE_ORDER_MARK = "\uFEFF";

	private final SheetFormat format;

	private final RowReader rowReader;

	private final List<SheetError> errors = new ArrayList<>();

	private final List<SheetRow> parsedRows = new ArrayList<>();

	private final Map<String, Integer> linesBySubject = new HashMap<>();

	private Optional<LocalDate> date = Optional.empty();

	private int dataRowCount;

	private boolean endRowSeen;

	private SheetReader(SheetFormat format, Fleet fleet) {
		this.format = format;
		this.rowReader = new RowReader(format, fleet, this.errors);
	}

	static SheetParseResult read(byte[] bytes, SheetFormat format, Fleet fleet) {
		SheetReader reader = new SheetReader(format, fleet);
		reader.readText(text(bytes));
		if (!reader.errors.isEmpty()) {
			reader.errors.sort(Comparator.comparingInt(SheetError::line).thenComparingInt(SheetError::column));
			return new SheetParseResult.Rejected(reader.errors);
		}
		return new SheetParseResult.Parsed(new MorningSheet(reader.date.orElseThrow(), reader.parsedRows));
	}

	private static String text(byte[] bytes) {
		String text = new String(bytes, StandardCharsets.UTF_8);
		return text.startsWith(BYTE_ORDER_MARK) ? text.substring(1) : text;
	}

	private static CSVFormat csvFormat(String text) {
		String header = text.lines().findFirst().orElse("");
		return CSVFormat.RFC4180.builder()
			.setDelimiter((header.indexOf(';') >= 0) ? ';' : ',')
			.setIgnoreSurroundingSpaces(true)
			.setIgnoreEmptyLines(false)
			.get();
	}

	private void readText(String text) {
		long line = 1;
		try (CSVParser parser = CSVParser.parse(new StringReader(text), csvFormat(text))) {
			Iterator<CSVRecord> records = parser.iterator();
			if (!records.hasNext()) {
				error(1, 1, "the file is empty");
				return;
			}
			Map<SheetColumn, Integer> columns = readHeader(records.next());
			line = nextLine(parser);
			while (!columns.isEmpty() && records.hasNext()) {
				record(new SheetCells(records.next(), (int) line, columns));
				line = nextLine(parser);
			}
			checkEnd((int) line);
		}
		catch (UncheckedIOException | IOException ex) {
			error((int) line, 1, "a quoted cell that starts on or after this line is malformed or not closed; "
					+ "the rest of the file was not checked");
		}
	}

	private static long nextLine(CSVParser parser) {
		return parser.getCurrentLineNumber() + 1;
	}

	private Map<SheetColumn, Integer> readHeader(CSVRecord header) {
		Map<SheetColumn, Integer> columns = new EnumMap<>(SheetColumn.class);
		for (int i = 0; i < header.size(); i++) {
			int cell = i;
			Optional<SheetColumn> column = SheetColumn.find(header.get(i));
			if (column.isEmpty()) {
				error(1, cell + 1, "unknown column '" + header.get(i) + "'");
			}
			else if (columns.putIfAbsent(column.get(), cell) != null) {
				error(1, cell + 1, "the column " + column.get().text() + " is duplicated");
			}
		}
		return checkRequiredColumns(columns, header.size()) ? columns : Map.of();
	}

	private boolean checkRequiredColumns(Map<SheetColumn, Integer> columns, int size) {
		boolean complete = true;
		for (SheetColumn column : SheetColumn.values()) {
			if (column.required() && !columns.containsKey(column)) {
				error(1, size + 1, "the column " + column.text() + " is missing; the rows were not checked");
				complete = false;
			}
		}
		return complete;
	}

	private void record(SheetCells cells) {
		if (cells.isBlank()) {
			return;
		}
		if (this.endRowSeen) {
			this.errors.add(cells.error(SheetColumn.KIND, "the row comes after the end row"));
		}
		else if (cells.text(SheetColumn.KIND).equalsIgnoreCase("end")) {
			readEndRow(cells);
		}
		else {
			readDataRow(cells);
		}
	}

	private void readEndRow(SheetCells cells) {
		this.endRowSeen = true;
		if (!cells.text(SheetColumn.NAME).equals(Integer.toString(this.dataRowCount))) {
			this.errors.add(cells.error(SheetColumn.NAME, "the end row counts '" + cells.text(SheetColumn.NAME)
					+ "' rows, but " + this.dataRowCount + " were read"));
		}
	}

	private void readDataRow(SheetCells cells) {
		this.dataRowCount++;
		if (this.dataRowCount == this.format.maxRows() + 1) {
			this.errors.add(cells.error(SheetColumn.DATE, "more than " + this.format.maxRows() + " rows"));
		}
		checkDate(cells);
		this.rowReader.read(cells).ifPresent((row) -> add(row, cells));
	}

	private void checkDate(SheetCells cells) {
		Optional<LocalDate> found = this.rowReader.date(cells);
		if (this.date.isEmpty()) {
			this.date = found;
		}
		else if (found.isPresent() && !found.equals(this.date)) {
			this.errors.add(cells.error(SheetColumn.DATE,
					found.get() + " differs from the sheet's first date " + this.date.get()));
		}
	}

	private void add(SheetRow row, SheetCells cells) {
		Integer before = this.linesBySubject.putIfAbsent(row.subject(), row.line());
		if (before != null) {
			this.errors.add(cells.error(SheetColumn.NAME, row.subject() + " is listed in line " + before + " already"));
		}
		this.parsedRows.add(row);
	}

	private void checkEnd(int line) {
		if (!this.endRowSeen && this.errors.stream().noneMatch((error) -> error.line() == 1)) {
			error(line, 1, "the end row is missing: the file may be truncated after " + this.dataRowCount + " rows");
		}
		if (this.endRowSeen && this.dataRowCount == 0) {
			error(line, 1, "the sheet has no rows");
		}
	}

	private void error(int line, int column, String message) {
		this.errors.add(new SheetError(line, column, "", message));
	}

}
