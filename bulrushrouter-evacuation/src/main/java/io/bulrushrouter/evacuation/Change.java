package io.bulrushrouter.evacuation;

import java.time.Instant;
import java.util.Objects;

/**
 * An entry in the change history of the intended state.
 *
 * @param mark the unique identifier of the write that made the change, by which a retried
 * write is recognised
 * @param who the operator
 * @param when the time of the change
 * @param why the reason that the operator gave
 * @param what a summary of the change, such as {@code sheet of 2026-11-02, 7 lines}
 */
public record Change(String mark, String who, Instant when, String why, String what) {

	/**
	 * Rejects null components.
	 */
	public Change {
		Objects.requireNonNull(mark);
		Objects.requireNonNull(who);
		Objects.requireNonNull(when);
		Objects.requireNonNull(why);
		Objects.requireNonNull(what);
	}

	/**
	 * Returns a description of the change for operators.
	 * @return the description, on one line
	 */
	public String text() {
		return "changed by " + this.who + " at " + this.when + ": " + this.what;
	}

}
