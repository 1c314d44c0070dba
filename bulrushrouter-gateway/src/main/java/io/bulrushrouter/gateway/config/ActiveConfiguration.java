package io.bulrushrouter.gateway.config;

import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.stream.Collectors;

/**
 * The configuration that an entry serves requests by, indexed by host and key.
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
		for (Organisation organisation : configuration.access().organisations()) {
			organisation.keys().forEach((key) -> this.organisationsByKey.put(key, organisation));
		}
	}

	/**
	 * Indexes a configuration.
	 * @param configuration the configuration
	 * @return the indexed configuration
	 */
	public static ActiveConfiguration of(GatewayConfiguration configuration) {
		return new ActiveConfiguration(configuration);
	}

	/**
	 * Returns the version that the operator gave the configuration.
	 * @return the version
	 */
	public long version() {
		return this.configuration.version();
	}

	/**
	 * Returns the limits of callers' requests.
	 * @return the limits
	 */
	public CallerLimits limits() {
		return this.configuration.limits();
	}

	/**
	 * Finds the route of a request.
	 * @param host the host of the request
	 * @param path the path of the request, without the query
	 * @return the route of the host with the longest matching path prefix, or empty if
	 * none matches
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
	 * Returns the routes that stream from a service.
	 * @param service the service's name
	 * @return the routes
	 */
	public List<Route> streamRoutes(String service) {
		return this.configuration.routes()
			.stream()
			.filter((route) -> route.kind() == RouteKind.STREAM && route.uses(service))
			.toList();
	}

	/**
	 * Returns the organisations.
	 * @return the organisations
	 */
	public List<Organisation> organisations() {
		return this.configuration.access().organisations();
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
	 * Returns whether requests need a key unless their route is anonymous.
	 * @return whether the configuration has a list of organisations, even an empty one
	 */
	public boolean requiresKeys() {
		return this.configuration.access().requiresKey();
	}

	/**
	 * Finds the organisation that owns a key.
	 * @param key the key, or {@code null} if the request has none
	 * @return the organisation, or empty if the key is missing or unknown
	 */
	public Optional<Organisation> organisation(String key) {
		return Optional.ofNullable(key).map(this.organisationsByKey::get);
	}

	/**
	 * Finds an organisation by its name.
	 * @param name the organisation's name
	 * @return the organisation, or empty if the configuration has none of that name
	 */
	public Optional<Organisation> organisationNamed(String name) {
		return organisations().stream().filter((organisation) -> organisation.name().equals(name)).findFirst();
	}

}
