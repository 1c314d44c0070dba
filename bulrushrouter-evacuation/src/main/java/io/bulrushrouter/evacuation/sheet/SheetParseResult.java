package io.bulrushrouter.evacuation.sheet;

import java.util.List;

/**
 * The outcome of parsing a sheet.
 */
public sealed interface SheetParseResult {

	/**
	 * The file is valid.
	 *
	 * @param sheet the sheet
	 */
	record Parsed(MorningSheet sheet) implements SheetParseResult {
	}

	/**
	 * The file has errors, and no part of it may be applied.
	 *
	 * @param errors all errors, ordered by line and column
	 */
	record Rejected(List<SheetError> errors) implements SheetParseResult {

		/**
		 * Copies the list.
		 */
		public Rejected {
			errors = List.copyOf(errors);
		}

	}

}
