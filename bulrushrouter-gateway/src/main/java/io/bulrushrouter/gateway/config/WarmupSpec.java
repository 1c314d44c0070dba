package io.bulrushrouter.gateway.config;

import java.time.Duration;

/**
 * How the upstreams of a service warm up after their start.
 *
 * @param duration how long an upstream stays cold
 * @param requestsPerSecond the requests per second that a cold upstream takes from all
 * entries together, above 0
 * @param healthPath the path at which an upstream answers a GET request at once and says
 * how long it stays cold
 */
public record WarmupSpec(Duration duration, double requestsPerSecond, String healthPath) {
}
