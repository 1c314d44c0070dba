package io.bulrushrouter.gateway.config;

import java.util.List;
import java.util.Map;

/**
 * One whole version of the configuration.
 *
 * @param version the operator's version, higher for each change
 * @param routes the routes
 * @param services the services by name
 * @param limits what callers may send
 * @param organisations the organisations; none means that requests need no key
 */
public record GatewayConfiguration(long version, List<Route> routes, Map<String, ServiceSpec> services,
		CallerLimits limits, List<Organisation> organisations) {

	/**
	 * Copies the parts.
	 */
	public GatewayConfiguration {
		routes = List.copyOf(routes);
		services = Map.copyOf(services);
		organisations = List.copyOf(organisations);
	}

}
