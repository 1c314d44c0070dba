package io.bulrushrouter.gateway.upstream;

import java.time.Duration;
import java.util.Optional;
import java.util.OptionalDouble;

/**
 * What an upstream says about itself in a response, beside the response proper.
 *
 * @param leaving whether it is about to stop and wants no new requests
 * @param requestsPerSecond the requests per second that it takes from all entries
 * together, or empty if it names no limit
 * @param retryAfter how long it wants no requests from this entry, or empty if it did not
 * refuse the request for a time
 * @param coldTime how long it stays cold, 0 if it is warm, or empty if it does not say
 */
public record UpstreamNotice(boolean leaving, OptionalDouble requestsPerSecond, Optional<Duration> retryAfter,
		Optional<Duration> coldTime) {

	/**
	 * Creates a notice that does not say whether the upstream is cold.
	 * @param leaving whether it is about to stop
	 * @param requestsPerSecond its limit, or empty
	 * @param retryAfter how long it wants no requests, or empty
	 */
	public UpstreamNotice(boolean leaving, OptionalDouble requestsPerSecond, Optional<Duration> retryAfter) {
		this(leaving, requestsPerSecond, retryAfter, Optional.empty());
	}

}
