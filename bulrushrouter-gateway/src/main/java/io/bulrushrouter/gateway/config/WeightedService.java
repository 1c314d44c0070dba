package io.bulrushrouter.gateway.config;

/**
 * A service that takes a part of a route's requests.
 *
 * @param service the service's name
 * @param weight the part, in proportion to the weights of the route's other services
 */
public record WeightedService(String service, double weight) {
}
