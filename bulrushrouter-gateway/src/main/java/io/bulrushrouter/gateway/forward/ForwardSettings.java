package io.bulrushrouter.gateway.forward;

import java.time.Duration;

/**
 * Limits of the way of a request.
 *
 * @param retryRatio further attempts for each request, in any window
 * @param minRetriesPerWindow further attempts in a window beside those
 * @param retryWindow the window
 * @param maxKeyProofAge how old the proof may be that a key is still valid
 * @param maxConfigurationAge how old the configuration may be for a request to be refused
 * as unknown
 * @param maxBufferedBytes bytes of requests and answers held at once, in all
 */
public record ForwardSettings(double retryRatio, double minRetriesPerWindow, Duration retryWindow,
		Duration maxKeyProofAge, Duration maxConfigurationAge, long maxBufferedBytes) {
}
