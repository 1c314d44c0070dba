package io.bulrushrouter.gateway.config;

import java.time.Duration;

/**
 * Limits of the size and duration of callers' requests.
 *
 * @param headerBytes the maximum size of a request head, in bytes
 * @param bodyBytes the maximum size of a request body, in bytes
 * @param headerTimeout the maximum time to receive a request head
 * @param idleTimeout the maximum time that a connection stays open without a request
 */
public record CallerLimits(int headerBytes, long bodyBytes, Duration headerTimeout, Duration idleTimeout) {

	/** Limits until a configuration is known, as wide as the widest ones in use. */
	public static final CallerLimits DEFAULTS = new CallerLimits(16_384, 4_194_304, Duration.ofSeconds(3),
			Duration.ofSeconds(15));

}
