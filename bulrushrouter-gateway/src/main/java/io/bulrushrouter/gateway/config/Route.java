package io.bulrushrouter.gateway.config;

import java.time.Duration;
import java.util.List;
import java.util.Objects;

/**
 * A route: which requests it takes and how they are served.
 *
 * @param name the route's name
 * @param host the host that callers name
 * @param pathPrefix the start of the paths that belong to it, with a slash at both ends
 * @param kind what may be repeated
 * @param timeout the longest that a caller is kept waiting
 * @param objective the time within which an answer earns its full credit
 * @param priority the rank among routes, 0 is the most urgent
 * @param services the services that take its requests
 * @param maxAttempts the most upstreams that one request may be sent to
 * @param anonymous whether requests need no key
 * @param resumable whether a broken stream may go on at another upstream
 */
public record Route(String name, String host, String pathPrefix, RouteKind kind, Duration timeout, Duration objective,
		int priority, List<WeightedService> services, int maxAttempts, boolean anonymous, boolean resumable) {

	/**
	 * Checks the parts.
	 */
	public Route {
		Objects.requireNonNull(name);
		Objects.requireNonNull(host);
		Objects.requireNonNull(pathPrefix);
		Objects.requireNonNull(kind);
		services = List.copyOf(services);
	}

	/**
	 * Tells whether a request may run more than once.
	 * @return whether it is idempotent, or a stream that may be resumed
	 */
	public boolean repeatable() {
		return this.kind == RouteKind.IDEMPOTENT || (this.kind == RouteKind.STREAM && this.resumable);
	}

	/**
	 * Picks a service by weight.
	 * @param random a number from 0 up to 1
	 * @return the service's name
	 */
	public String service(double random) {
		double remaining = random * this.services.stream().mapToDouble(WeightedService::weight).sum();
		for (WeightedService candidate : this.services) {
			remaining -= candidate.weight();
			if (remaining < 0) {
				return candidate.service();
			}
		}
		return this.services.get(this.services.size() - 1).service();
	}

}
