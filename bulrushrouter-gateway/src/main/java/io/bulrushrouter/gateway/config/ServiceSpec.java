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
 * @param warmup how its upstreams warm up, or empty if they are never cold
 */
public record ServiceSpec(String name, int maxConnections, Optional<EngineSpec> engine, Optional<WarmupSpec> warmup) {

	/**
	 * Creates a service whose upstreams are never cold.
	 * @param name the service's name
	 * @param maxConnections the maximum number of connections of one upstream
	 * @param engine the characteristics of its model engines, or empty
	 */
	public ServiceSpec(String name, int maxConnections, Optional<EngineSpec> engine) {
		this(name, maxConnections, engine, Optional.empty());
	}

}
