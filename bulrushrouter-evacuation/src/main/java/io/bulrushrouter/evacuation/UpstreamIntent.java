package io.bulrushrouter.evacuation;

import java.time.LocalDateTime;
import java.util.Objects;
import java.util.Optional;

import io.bulrushrouter.kernel.UpstreamId;

/**
 * What is intended for one upstream.
 *
 * @param upstream the upstream
 * @param state its intended state
 * @param stopAt the hour of its stop in the building's local time, or empty if it may go
 * as soon as it is safe
 */
public record UpstreamIntent(UpstreamId upstream, EndState state, Optional<LocalDateTime> stopAt) {

	/**
	 * Checks the parts.
	 */
	public UpstreamIntent {
		Objects.requireNonNull(upstream);
		Objects.requireNonNull(state);
		Objects.requireNonNull(stopAt);
	}

}
