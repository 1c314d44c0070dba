package io.bulrushrouter.evacuation;

import java.time.LocalDateTime;
import java.util.Objects;
import java.util.Optional;

import io.bulrushrouter.kernel.UpstreamId;

/**
 * The intended state of an upstream.
 *
 * @param upstream the upstream
 * @param state the intended state
 * @param stopAt the scheduled time of its stop in the building's local time, or empty if
 * it may stop as soon as it is safe
 */
public record UpstreamIntent(UpstreamId upstream, EndState state, Optional<LocalDateTime> stopAt) {

	/**
	 * Rejects null components.
	 */
	public UpstreamIntent {
		Objects.requireNonNull(upstream);
		Objects.requireNonNull(state);
		Objects.requireNonNull(stopAt);
	}

}
