package io.bulrushrouter.evacuation.sheet;

import java.time.LocalTime;
import java.util.Optional;

import io.bulrushrouter.evacuation.EndState;
import io.bulrushrouter.evacuation.Target;
import io.bulrushrouter.kernel.DataCentreId;
import io.bulrushrouter.kernel.OrganisationId;

/**
 * One row of a sheet.
 */
public sealed interface SheetRow {

	/**
	 * Returns the line in the file.
	 * @return the line, from 1
	 */
	int line();

	/**
	 * Returns the row's text without its line and note, the same for equal rows.
	 * @return the text
	 */
	String canonicalText();

	/**
	 * Returns what the row names, so that two rows of one name can be told.
	 * @return such as {@code group/north}
	 */
	String subject();

	/**
	 * The intended state of an upstream or group at the end of the day.
	 *
	 * @param line the line in the file, from 1
	 * @param target the upstream or group
	 * @param state the intended state
	 * @param stopHour the hour of its stop, or empty if it may stop as soon as it is safe
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
	 * @param to where it goes
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
