package io.bulrushrouter.gateway.config;

import java.util.List;
import java.util.Map;
import java.util.Objects;

/**
 * A complete version of the gateway's configuration.
 *
 * @param version the version that the operator gave it, which rises with each change
 * @param routes the routes
 * @param services the services by name
 * @param limits the limits of callers' requests
 * @param access who may use the routes that are not anonymous
 */
public record GatewayConfiguration(long version, List<Route> routes, Map<String, ServiceSpec> services,
		CallerLimits limits, Access access) {

	/**
	 * Makes defensive copies of the collections.
	 */
	public GatewayConfiguration {
		routes = List.copyOf(routes);
		services = Map.copyOf(services);
		Objects.requireNonNull(access);
	}

}
