package io.bulrushrouter.gateway.config;

import java.util.Optional;

/**
 * A service: a set of interchangeable upstreams.
 *
 * @param name the service's name
 * @param maxConnections the maximum number of connections that one upstream accepts in
 * all
 * @param engine the characteristics of its model engines, or empty for a service without
 * model engines
 */
public record ServiceSpec(String name, int maxConnections, Optional<EngineSpec> engine) {
}
