package io.bulrushrouter.gateway.config;

import java.time.Duration;

/**
 * What a caller may send and how long it may take.
 *
 * @param headerBytes the longest request head, in bytes
 * @param bodyBytes the longest request body, in bytes
 * @param headerTimeout the longest time for a request head
 * @param idleTimeout the longest time that a connection stays open without a request
 */
public record CallerLimits(int headerBytes, long bodyBytes, Duration headerTimeout, Duration idleTimeout) {

	/** The limits before any configuration is known, as wide as the widest in use. */
	public static final CallerLimits DEFAULTS = new CallerLimits(16_384, 4_194_304, Duration.ofSeconds(3),
			Duration.ofSeconds(15));

}
