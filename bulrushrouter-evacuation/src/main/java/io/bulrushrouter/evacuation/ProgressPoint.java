package io.bulrushrouter.evacuation;

import java.time.LocalDateTime;
import java.util.Objects;

/**
 * How many upstreams were still there at a time, for the burn-down.
 *
 * @param at when, in the building's local time
 * @param remaining how many upstreams of the plan were not stopped
 */
public record ProgressPoint(LocalDateTime at, int remaining) {

	/**
	 * Checks the parts.
	 */
	public ProgressPoint {
		Objects.requireNonNull(at);
	}

}
