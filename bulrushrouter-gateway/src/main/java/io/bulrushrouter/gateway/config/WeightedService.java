package io.bulrushrouter.gateway.config;

/**
 * A service that takes a share of a route's requests.
 *
 * @param service the service's name
 * @param weight the share, relative to the weights of the route's other services
 */
public record WeightedService(String service, double weight) {
}
