package io.bulrushrouter.gateway.forward;

import java.time.Duration;

/**
 * Limits for the forwarding of requests.
 *
 * @param retryRatio the retries allowed per request in a window
 * @param spareRetriesPerWindow the retries that all entries together are allowed in a
 * window in addition to that ratio
 * @param retryWindow the length of the sliding window
 * @param maxKeyProofAge the maximum age of the freshness proof at which requests with
 * keys are served; with an older one a key may have been revoked meanwhile
 * @param maxConfigurationAge the maximum age of the freshness proof at which a request
 * with an unknown route or key is refused for good; with an older one the caller is asked
 * to retry
 * @param maxBufferedBytes the bytes of requests, buffered responses and write queues that
 * may be held at once, over all connections
 * @param maxUpstreamConnections the connections to upstreams that may be open at once,
 * idle ones included
 */
public record ForwardSettings(double retryRatio, double spareRetriesPerWindow, Duration retryWindow,
		Duration maxKeyProofAge, Duration maxConfigurationAge, long maxBufferedBytes, int maxUpstreamConnections) {
}
