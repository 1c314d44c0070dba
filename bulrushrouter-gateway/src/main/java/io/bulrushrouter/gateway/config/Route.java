package io.bulrushrouter.gateway.config;

import java.time.Duration;
import java.util.List;
import java.util.Objects;
import java.util.Optional;
import java.util.OptionalInt;

/**
 * A route matches requests by host and path and defines how they are served.
 *
 * @param name the route's name
 * @param host the host that requests must name
 * @param pathPrefix the prefix of the matching paths, with a slash at both ends
 * @param kind whether its requests may run more than once, and whether they stream
 * @param timeout the maximum time that a caller is kept waiting
 * @param objective the latency objective: an answer within it earns its full credit
 * @param priority the priority of its requests; 0 is the most urgent
 * @param services the services that take its requests
 * @param maxAttempts the maximum number of upstreams that one request may be sent to
 * @param anonymous whether requests need no key
 * @param resumable whether a broken stream may resume at another upstream
 * @param maxEventGap the longest pause between the events of a stream that is on time, or
 * empty if pauses do not matter
 */
public record Route(String name, String host, String pathPrefix, RouteKind kind, Duration timeout, Duration objective,
		int priority, List<WeightedService> services, int maxAttempts, boolean anonymous, boolean resumable,
		Optional<Duration> maxEventGap) {

	/**
	 * Rejects missing components and makes a defensive copy of the services.
	 */
	public Route {
		Objects.requireNonNull(name);
		Objects.requireNonNull(host);
		Objects.requireNonNull(pathPrefix);
		Objects.requireNonNull(kind);
		services = List.copyOf(services);
	}

	/**
	 * Creates a route for which pauses between events do not matter.
	 * @param name the route's name
	 * @param host the host that requests must name
	 * @param pathPrefix the prefix of the matching paths, with a slash at both ends
	 * @param kind whether its requests may run more than once, and whether they stream
	 * @param timeout the maximum time that a caller is kept waiting
	 * @param objective the latency objective
	 * @param priority the priority of its requests; 0 is the most urgent
	 * @param services the services that take its requests
	 * @param maxAttempts the maximum number of upstreams that one request may be sent to
	 * @param anonymous whether requests need no key
	 * @param resumable whether a broken stream may resume at another upstream
	 */
	public Route(String name, String host, String pathPrefix, RouteKind kind, Duration timeout, Duration objective,
			int priority, List<WeightedService> services, int maxAttempts, boolean anonymous, boolean resumable) {
		this(name, host, pathPrefix, kind, timeout, objective, priority, services, maxAttempts, anonymous, resumable,
				Optional.empty());
	}

	/**
	 * Returns the priority of a request of this route. That of its organisation goes
	 * before that of the route.
	 * @param organisation the organisation that sends it, if known
	 * @return the priority; 0 is the most urgent
	 */
	public int priorityFor(Optional<Organisation> organisation) {
		return organisation.map(Organisation::priority)
			.filter(OptionalInt::isPresent)
			.map(OptionalInt::getAsInt)
			.orElse(this.priority);
	}

	/**
	 * Returns whether a service takes requests of this route.
	 * @param service the service's name
	 * @return whether it does
	 */
	public boolean uses(String service) {
		return this.services.stream().anyMatch((each) -> each.service().equals(service));
	}

	/**
	 * Returns whether a request may run more than once.
	 * @return whether it is idempotent or a resumable stream
	 */
	public boolean repeatable() {
		return this.kind == RouteKind.IDEMPOTENT || (this.kind == RouteKind.STREAM && this.resumable);
	}

	/**
	 * Selects a service at random, in proportion to the weights.
	 * @param random a random number from 0 (inclusive) to 1 (exclusive)
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
