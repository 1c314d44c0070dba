package io.bulrushrouter.evacuation;

import java.time.LocalDateTime;
import java.util.Objects;

/**
 * A point of the burn-down chart: the number of upstreams that remained at a time.
 *
 * @param at the time, in the building's local time
 * @param remaining the number of upstreams in the plan that were not stopped
 */
public record ProgressPoint(LocalDateTime at, int remaining) {

	/**
	 * Rejects null components.
	 */
	public ProgressPoint {
		Objects.requireNonNull(at);
	}

}
