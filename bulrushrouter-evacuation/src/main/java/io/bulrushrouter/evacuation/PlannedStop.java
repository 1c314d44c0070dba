package io.bulrushrouter.evacuation;

import java.time.LocalDateTime;
import java.util.Objects;

/**
 * A stop that is scheduled for a fixed time.
 *
 * @param target the upstream or group
 * @param at the time of the stop, in the building's local time
 */
public record PlannedStop(Target target, LocalDateTime at) {

	/**
	 * Rejects null components.
	 */
	public PlannedStop {
		Objects.requireNonNull(target);
		Objects.requireNonNull(at);
	}

}
