package io.bulrushrouter.evacuation;

import java.time.LocalDateTime;
import java.util.Objects;

/**
 * A stop that is planned for an hour.
 *
 * @param target the upstream or group
 * @param at when, in the local time of the building
 */
public record PlannedStop(Target target, LocalDateTime at) {

	/**
	 * Checks the parts.
	 */
	public PlannedStop {
		Objects.requireNonNull(target);
		Objects.requireNonNull(at);
	}

}
