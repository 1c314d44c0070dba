package io.bulrushrouter.evacuation.sheet;

import java.time.DateTimeException;
import java.time.LocalDate;
import java.time.LocalTime;
import java.util.List;
import java.util.Locale;
import java.util.Optional;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

import io.bulrushrouter.evacuation.EndState;
import io.bulrushrouter.evacuation.Fleet;
import io.bulrushrouter.evacuation.FleetUpstream;
import io.bulrushrouter.evacuation.Target;
import io.bulrushrouter.kernel.DataCentreId;
import io.bulrushrouter.kernel.OrganisationId;

/**
 * Converts the cells of one row to a typed row, and collects the errors of each cell.
 */
final class RowReader {

	private static final Pattern TIME_OF_DAY = Pattern.compile("(\\d{1,2}):(\\d{2})(?::00)?");

	private static final String MOVED = "moved";

	/** The character by which the decoder replaces bytes that are not valid UTF-8. */
	private static final char REPLACEMENT_CHARACTER = '\uFFFD';

	private final SheetFormat format;

	private final Fleet fleet;

	private final List<SheetError> errors;

	RowReader(SheetFormat format, Fleet fleet, List<SheetError> errors) {
		this.format = format;
		this.fleet = fleet;
		this.errors = errors;
	}

	Optional<LocalDate> date(SheetCells cells) {
		Optional<LocalDate> date = this.format.dateOrder().parse(cells.text(SheetColumn.DATE));
		if (date.isEmpty()) {
			error(cells, SheetColumn.DATE,
					"not a date in the order " + this.format.dateOrder() + ": '" + cells.text(SheetColumn.DATE) + "'");
		}
		return date;
	}

	Optional<SheetRow> read(SheetCells cells) {
		if (!checkCells(cells)) {
			return Optional.empty();
		}
		switch (cells.text(SheetColumn.KIND).toLowerCase(Locale.ROOT)) {
			case "upstream":
				return departure(cells, Target.Kind.UPSTREAM);
			case "group":
				return departure(cells, Target.Kind.GROUP);
			case "organisation":
				return move(cells);
			default:
				error(cells, SheetColumn.KIND,
						"must be upstream, group, organisation or end, not '" + cells.text(SheetColumn.KIND) + "'");
				return Optional.empty();
		}
	}

	private boolean checkCells(SheetCells cells) {
		for (SheetColumn column : cells.columns().keySet()) {
			if (cells.text(column).indexOf(REPLACEMENT_CHARACTER) >= 0) {
				error(cells, column, "is not valid UTF-8");
			}
		}
		int size = cells.row().size();
		if (size < cells.expectedCells()) {
			this.errors.add(new SheetError(cells.line(), size + 1, "",
					"the row ends after " + size + " of " + cells.expectedCells() + " cells"));
			return false;
		}
		if (size > cells.expectedCells()) {
			this.errors.add(new SheetError(cells.line(), cells.expectedCells() + 1, "",
					"the row has " + size + " cells, but the header has " + cells.expectedCells()));
			return false;
		}
		return true;
	}

	private Optional<SheetRow> departure(SheetCells cells, Target.Kind kind) {
		Optional<Target> target = target(cells, kind);
		Optional<EndState> state = EndState.find(cells.text(SheetColumn.STATE));
		if (state.isEmpty()) {
			error(cells, SheetColumn.STATE,
					"must be running, leaving or gone, not '" + cells.text(SheetColumn.STATE) + "'");
		}
		boolean isGone = state.isPresent() && state.get() == EndState.GONE;
		Optional<LocalTime> hour = stopHour(cells, isGone || state.isEmpty());
		requireEmpty(cells, SheetColumn.TO, "must be empty, since only an organisation moves");
		if (target.isEmpty() || state.isEmpty()) {
			return Optional.empty();
		}
		return Optional.of(new SheetRow.Departure(cells.line(), target.get(), state.get(), hour));
	}

	private Optional<Target> target(SheetCells cells, Target.Kind kind) {
		Target target = new Target(kind, cells.text(SheetColumn.NAME));
		List<FleetUpstream> members = this.fleet.members(target);
		if (members.isEmpty()) {
			error(cells, SheetColumn.NAME, "unknown " + target);
			return Optional.empty();
		}
		Target unit = members.get(0).unit();
		if (!unit.equals(target)) {
			error(cells, SheetColumn.NAME, target + " belongs to " + unit + ", which can only leave as a whole");
			return Optional.empty();
		}
		return Optional.of(target);
	}

	private Optional<LocalTime> stopHour(SheetCells cells, boolean allowed) {
		String text = cells.text(SheetColumn.STOP_HOUR);
		if (text.isEmpty()) {
			return Optional.empty();
		}
		if (!allowed) {
			error(cells, SheetColumn.STOP_HOUR, "must be empty unless the state is gone");
			return Optional.empty();
		}
		Optional<LocalTime> hour = hour(text);
		if (hour.isEmpty()) {
			error(cells, SheetColumn.STOP_HOUR, "not a time such as 14:30: '" + text + "'");
		}
		return hour;
	}

	private static Optional<LocalTime> hour(String text) {
		Matcher matcher = TIME_OF_DAY.matcher(text);
		if (!matcher.matches()) {
			return Optional.empty();
		}
		try {
			return Optional.of(LocalTime.of(Integer.parseInt(matcher.group(1)), Integer.parseInt(matcher.group(2))));
		}
		catch (DateTimeException ex) {
			return Optional.empty();
		}
	}

	private Optional<SheetRow> move(SheetCells cells) {
		Optional<OrganisationId> organisation = this.fleet.organisation(cells.text(SheetColumn.NAME));
		if (organisation.isEmpty()) {
			error(cells, SheetColumn.NAME, "unknown organisation '" + cells.text(SheetColumn.NAME) + "'");
		}
		Optional<DataCentreId> to = this.fleet.dataCentre(cells.text(SheetColumn.TO));
		if (to.isEmpty()) {
			error(cells, SheetColumn.TO, "unknown data centre '" + cells.text(SheetColumn.TO) + "'");
		}
		if (!cells.text(SheetColumn.STATE).equalsIgnoreCase(MOVED)) {
			error(cells, SheetColumn.STATE, "must be moved, not '" + cells.text(SheetColumn.STATE) + "'");
		}
		requireEmpty(cells, SheetColumn.STOP_HOUR, "must be empty, since an organisation has no stop hour");
		return organisation
			.flatMap((found) -> to.map((destination) -> new SheetRow.Move(cells.line(), found, destination)));
	}

	private void requireEmpty(SheetCells cells, SheetColumn column, String message) {
		if (!cells.text(column).isEmpty()) {
			error(cells, column, message);
		}
	}

	private void error(SheetCells cells, SheetColumn column, String message) {
		this.errors.add(cells.error(column, message));
	}

}
