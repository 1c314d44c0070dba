package io.bulrushrouter.evacuation.sheet;

import java.util.Locale;
import java.util.Objects;

/**
 * A place where a sheet contradicts the plan, or what is intended already.
 *
 * @param kind the kind
 * @param line the line in the file, from 1; 0 if the sheet leaves something out
 * @param message details for a person
 */
public record Contradiction(Kind kind, int line, String message) {

	/**
	 * Checks the parts.
	 */
	public Contradiction {
		Objects.requireNonNull(kind);
		Objects.requireNonNull(message);
	}

	/**
	 * Tells whether an operator may accept it as a risk.
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
	 * The kinds of contradiction.
	 */
	public enum Kind {

		/** It lets something leave that the plan lets stay. */
		NOT_IN_PLAN,

		/** The plan wants something gone by the sheet's day, and it would not be. */
		LATER_THAN_PLAN,

		/** The plan names another hour for the stop. */
		OTHER_STOP_HOUR,

		/** It moves an organisation before one that comes earlier in the plan's order. */
		ORGANISATION_ORDER,

		/** It asks for what has begun to leave to run again. */
		REVERSAL,

		/** The plan was cancelled. */
		PLAN_CANCELLED

	}

}
