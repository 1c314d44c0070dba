package io.bulrushrouter.evacuation;

import java.time.LocalDate;
import java.util.Objects;

/**
 * An upstream or group that must be stopped by a date.
 *
 * @param target the upstream or group
 * @param by the last day on which it may run; it must be stopped by the end of this day
 */
public record Departure(Target target, LocalDate by) {

	/**
	 * Rejects null components.
	 */
	public Departure {
		Objects.requireNonNull(target);
		Objects.requireNonNull(by);
	}

}
