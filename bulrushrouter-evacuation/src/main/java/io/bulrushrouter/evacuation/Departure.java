package io.bulrushrouter.evacuation;

import java.time.LocalDate;
import java.util.Objects;

/**
 * What must be gone by when.
 *
 * @param target the upstream or group
 * @param by the day at whose end it must be gone
 */
public record Departure(Target target, LocalDate by) {

	/**
	 * Checks the parts.
	 */
	public Departure {
		Objects.requireNonNull(target);
		Objects.requireNonNull(by);
	}

}
