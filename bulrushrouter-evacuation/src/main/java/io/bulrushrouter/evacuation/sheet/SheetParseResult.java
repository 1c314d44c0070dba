package io.bulrushrouter.evacuation.sheet;

import java.util.List;

/**
 * The outcome of parsing a sheet.
 */
public sealed interface SheetParseResult {

	/**
	 * The sheet has no error.
	 *
	 * @param sheet the sheet
	 */
	record Parsed(MorningSheet sheet) implements SheetParseResult {
	}

	/**
	 * The sheet has errors, and nothing of it may be applied.
	 *
	 * @param errors every error, by line and column
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
