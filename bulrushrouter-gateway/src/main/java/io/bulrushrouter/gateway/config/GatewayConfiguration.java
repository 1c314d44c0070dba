package io.bulrushrouter.gateway.config;

import java.util.List;
import java.util.Map;

/**
 * A complete version of the gateway's configuration.
 *
 * @param version the version that the operator gave it, which rises with each change
 * @param routes the routes
 * @param services the services by name
 * @param limits the limits of callers' requests
 * @param organisations the organisations; if there are none, requests need no key
 */
public record GatewayConfiguration(long version, List<Route> routes, Map<String, ServiceSpec> services,
		CallerLimits limits, List<Organisation> organisations) {

	/**
	 * Makes defensive copies of the collections.
	 */
	public GatewayConfiguration {
		routes = List.copyOf(routes);
		services = Map.copyOf(services);
		organisations = List.copyOf(organisations);
	}

}
