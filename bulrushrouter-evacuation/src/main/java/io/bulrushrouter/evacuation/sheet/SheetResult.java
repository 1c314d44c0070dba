package io.bulrushrouter.evacuation.sheet;

import java.util.List;

/**
 * The outcome of parsing a sheet.
 */
public sealed interface SheetResult {

	/**
	 * The sheet has no error.
	 *
	 * @param sheet the sheet
	 */
	record Parsed(MorningSheet sheet) implements SheetResult {
	}

	/**
	 * The sheet has errors, and nothing of it may be applied.
	 *
	 * @param errors every error, by line and column
	 */
	record Rejected(List<SheetError> errors) implements SheetResult {

		/**
		 * Copies the list.
		 */
		public Rejected {
			errors = List.copyOf(errors);
		}

	}

}
