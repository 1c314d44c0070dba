package io.bulrushrouter.evacuation.sheet;

import java.util.Locale;
import java.util.Objects;

/**
 * A contradiction between a sheet and the plan, or between a sheet and the state that is
 * already intended.
 *
 * @param kind the kind of contradiction
 * @param line the line in the file, from 1; 0 if no row of the sheet causes it
 * @param message a description of the contradiction, for operators
 */
public record Contradiction(Kind kind, int line, String message) {

	/**
	 * Rejects null components.
	 */
	public Contradiction {
		Objects.requireNonNull(kind);
		Objects.requireNonNull(message);
	}

	/**
	 * Returns whether an operator may accept this contradiction as a risk.
	 * @return whether it may be accepted
	 */
	public boolean acceptable() {
		return this.kind != Kind.REVERSAL && this.kind != Kind.PLAN_CANCELLED;
	}

	@Override
	public String toString() {
		String place = (this.line > 0) ? "line " + this.line + ": " : "";
		return place + this.kind.name().toLowerCase(Locale.ROOT).replace('_', '-') + ": " + this.message;
	}

	/**
	 * The kind of a contradiction.
	 */
	public enum Kind {

		/** A row lets an upstream or group leave that has no departure in the plan. */
		NOT_IN_PLAN,

		/** An upstream or group would miss the date of its departure in the plan. */
		LATER_THAN_PLAN,

		/** The plan schedules the stop for another time. */
		OTHER_STOP_HOUR,

		/**
		 * A row moves an organisation before one that precedes it in the plan's order.
		 */
		ORGANISATION_ORDER,

		/** A row returns an upstream or group to an earlier state, such as running. */
		REVERSAL,

		/** The plan is cancelled. */
		PLAN_CANCELLED

	}

}
