package io.bulrushrouter.evacuation;

import java.time.Instant;
import java.util.Objects;

/**
 * One change of the intended state, kept in its history.
 *
 * @param mark the mark of the write that made it, unique
 * @param who the operator
 * @param when the time of the change
 * @param why the operator's reason
 * @param what a summary, such as {@code sheet of 2026-11-02, 7 lines}
 */
public record Change(String mark, String who, Instant when, String why, String what) {

	/**
	 * Checks the parts.
	 */
	public Change {
		Objects.requireNonNull(mark);
		Objects.requireNonNull(who);
		Objects.requireNonNull(when);
		Objects.requireNonNull(why);
		Objects.requireNonNull(what);
	}

	/**
	 * Returns the change for a person.
	 * @return one line
	 */
	public String text() {
		return "changed by " + this.who + " at " + this.when + ": " + this.what;
	}

}
