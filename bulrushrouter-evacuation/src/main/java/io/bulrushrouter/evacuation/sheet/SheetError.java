package io.bulrushrouter.evacuation.sheet;

/**
 * One thing that is wrong with a sheet.
 *
 * @param line the line in the file, from 1
 * @param column the number of the cell in its row, from 1
 * @param name the column's name, or empty text if there is none
 * @param message what is wrong, for a person
 */
public record SheetError(int line, int column, String name, String message) {

	@Override
	public String toString() {
		String cell = this.name.isEmpty() ? "" : " (" + this.name + ")";
		return "line " + this.line + ", column " + this.column + cell + ": " + this.message;
	}

}
