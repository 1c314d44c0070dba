package io.bulrushrouter.evacuation.sheet;

import java.util.Map;

import org.apache.commons.csv.CSVRecord;

/**
 * The cells of one row, by column.
 *
 * @param row the row
 * @param line the line in which the row starts, from 1
 * @param columns the position of each column, from 0
 */
record SheetCells(CSVRecord row, int line, Map<SheetColumn, Integer> columns) {

	String text(SheetColumn column) {
		Integer index = this.columns.get(column);
		return (index != null && index < this.row.size()) ? this.row.get(index).strip() : "";
	}

	boolean isBlank() {
		return this.row.stream().allMatch(String::isBlank);
	}

	/** The last column with a place in the header. */
	int expectedCells() {
		return this.columns.values().stream().mapToInt(Integer::intValue).max().orElse(0) + 1;
	}

	SheetError error(SheetColumn column, String message) {
		int index = this.columns.getOrDefault(column, 0);
		return new SheetError(this.line + lineBreaksBefore(index), index + 1, column.text(), message);
	}

	/** Line breaks in quoted cells before a cell move it to a later line. */
	private int lineBreaksBefore(int index) {
		return (int) this.row.stream().limit(index).flatMapToInt(String::chars).filter((c) -> c == '\n').count();
	}

}
