package io.bulrushrouter.evacuation.sheet;

import java.time.LocalTime;
import java.util.Optional;

import io.bulrushrouter.evacuation.EndState;
import io.bulrushrouter.evacuation.Target;
import io.bulrushrouter.kernel.DataCentreId;
import io.bulrushrouter.kernel.OrganisationId;

/**
 * A data row of a sheet.
 */
public sealed interface SheetRow {

	/**
	 * Returns the line of the row in the file.
	 * @return the line, from 1
	 */
	int line();

	/**
	 * Returns a canonical text of the row without its line and note, used for the digest
	 * of the sheet.
	 * @return the text, which is the same for rows of the same content
	 */
	String canonicalText();

	/**
	 * Returns the upstream, group or organisation that the row names, by which duplicate
	 * rows are detected.
	 * @return the kind and name, such as {@code group/north}
	 */
	String subject();

	/**
	 * The intended state of an upstream or group at the end of the day.
	 *
	 * @param line the line in the file, from 1
	 * @param target the upstream or group
	 * @param state the intended state
	 * @param stopHour the time of its stop, or empty if it may stop as soon as it is safe
	 */
	record Departure(int line, Target target, EndState state, Optional<LocalTime> stopHour) implements SheetRow {

		@Override
		public String canonicalText() {
			return subject() + "=" + this.state.text() + this.stopHour.map((hour) -> "@" + hour).orElse("");
		}

		@Override
		public String subject() {
			return this.target.text();
		}

	}

	/**
	 * The move of an organisation.
	 *
	 * @param line the line in the file, from 1
	 * @param organisation the organisation
	 * @param to the data centre to which it moves
	 */
	record Move(int line, OrganisationId organisation, DataCentreId to) implements SheetRow {

		@Override
		public String canonicalText() {
			return subject() + "=" + this.to;
		}

		@Override
		public String subject() {
			return "organisation/" + this.organisation;
		}

	}

}
