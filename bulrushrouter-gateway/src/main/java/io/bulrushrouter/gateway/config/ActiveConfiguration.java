package io.bulrushrouter.gateway.config;

import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.stream.Collectors;

/**
 * A configuration indexed for requests.
 */
public final class ActiveConfiguration {

	private final GatewayConfiguration configuration;

	private final Map<String, List<Route>> routesByHost;

	private final Map<String, Organisation> organisationsByKey = new HashMap<>();

	private ActiveConfiguration(GatewayConfiguration configuration) {
		this.configuration = configuration;
		Comparator<Route> longestFirst = Comparator.comparingInt((Route route) -> -route.pathPrefix().length());
		this.routesByHost = configuration.routes()
			.stream()
			.sorted(longestFirst)
			.collect(Collectors.groupingBy(Route::host));
		for (Organisation organisation : configuration.organisations()) {
			organisation.keys().forEach((key) -> this.organisationsByKey.put(key, organisation));
		}
	}

	/**
	 * Indexes a configuration.
	 * @param configuration the configuration
	 * @return the index
	 */
	public static ActiveConfiguration of(GatewayConfiguration configuration) {
		return new ActiveConfiguration(configuration);
	}

	/**
	 * Returns the operator's version.
	 * @return the version
	 */
	public long version() {
		return this.configuration.version();
	}

	/**
	 * Returns what callers may send.
	 * @return the limits
	 */
	public CallerLimits limits() {
		return this.configuration.limits();
	}

	/**
	 * Finds the route of a request.
	 * @param host the host that the caller names
	 * @param path the path, without the query
	 * @return the route with the longest prefix that begins the path, or empty
	 */
	public Optional<Route> route(String host, String path) {
		for (Route route : this.routesByHost.getOrDefault(host, List.of())) {
			if (path.startsWith(route.pathPrefix())) {
				return Optional.of(route);
			}
		}
		return Optional.empty();
	}

	/**
	 * Finds a service.
	 * @param name the service's name
	 * @return the service, or empty if the configuration has none of that name
	 */
	public Optional<ServiceSpec> service(String name) {
		return Optional.ofNullable(this.configuration.services().get(name));
	}

	/**
	 * Tells whether requests need a key, unless their route is anonymous.
	 * @return whether the configuration names organisations
	 */
	public boolean requiresKeys() {
		return !this.configuration.organisations().isEmpty();
	}

	/**
	 * Finds the organisation that holds a key.
	 * @param key the key, or null if the request has none
	 * @return the organisation, or empty
	 */
	public Optional<Organisation> organisation(String key) {
		return Optional.ofNullable(key).map(this.organisationsByKey::get);
	}

}
