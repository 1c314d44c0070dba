package io.bulrushrouter.evacuation.sheet;

import java.util.Map;

import org.apache.commons.csv.CSVRecord;

/**
 * The cells of one row of a sheet, accessible by column.
 *
 * @param row the parsed CSV record
 * @param line the line on which the row starts, from 1
 * @param columns the index of each column, from 0
 */
record SheetCells(CSVRecord row, int line, Map<SheetColumn, Integer> columns) {

	String text(SheetColumn column) {
		Integer index = this.columns.get(column);
		return (index != null && index < this.row.size()) ? this.row.get(index).strip() : "";
	}

	boolean isBlank() {
		return this.row.stream().allMatch(String::isBlank);
	}

	/** Returns the number of cells up to the last column of the header. */
	int expectedCells() {
		return this.columns.values().stream().mapToInt(Integer::intValue).max().orElse(0) + 1;
	}

	SheetError error(SheetColumn column, String message) {
		int index = this.columns.getOrDefault(column, 0);
		return new SheetError(this.line + lineBreaksBefore(index), index + 1, column.text(), message);
	}

	/**
	 * Counts line breaks in preceding quoted cells, which move a cell to a later line.
	 */
	private int lineBreaksBefore(int index) {
		return (int) this.row.stream().limit(index).flatMapToInt(String::chars).filter((c) -> c == '\n').count();
	}

}
