package io.bulrushrouter.gateway.config;

import java.util.Optional;

/**
 * A service: upstreams that answer the same requests.
 *
 * @param name the service's name
 * @param maxConnections the connections that one upstream accepts from all callers
 * @param engine the figures of its engines, or empty for a plain service
 */
public record ServiceSpec(String name, int maxConnections, Optional<EngineSpec> engine) {
}
