package io.bulrushrouter.gateway.forward;

import java.time.Duration;

/**
 * Limits of the way of a request.
 *
 * @param retryRatio further attempts for each request, in any window
 * @param retrySpare further attempts in a window beside those
 * @param retryWindow the window
 * @param keyFreshness how old the proof may be that a key is still valid
 * @param configurationFreshness how old the configuration may be for a request to be
 * refused as unknown
 * @param mostBufferedBytes bytes of requests and answers held at once, in all
 */
public record ForwardSettings(double retryRatio, double retrySpare, Duration retryWindow, Duration keyFreshness,
		Duration configurationFreshness, long mostBufferedBytes) {
}
