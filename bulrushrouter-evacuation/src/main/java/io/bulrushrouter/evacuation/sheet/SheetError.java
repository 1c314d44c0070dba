package io.bulrushrouter.evacuation.sheet;

/**
 * An error in the file of a sheet.
 *
 * @param line the line in the file, from 1
 * @param column the position of the cell in its row, from 1
 * @param name the name of the column, or an empty string if there is none
 * @param message a description of the error, for operators
 */
public record SheetError(int line, int column, String name, String message) {

	@Override
	public String toString() {
		String cell = this.name.isEmpty() ? "" : " (" + this.name + ")";
		return "line " + this.line + ", column " + this.column + cell + ": " + this.message;
	}

}
