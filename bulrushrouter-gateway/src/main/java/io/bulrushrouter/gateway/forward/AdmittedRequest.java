package io.bulrushrouter.gateway.forward;

import java.util.Optional;

import io.bulrushrouter.gateway.config.Organisation;
import io.bulrushrouter.gateway.config.Route;

/**
 * A request that matches a route and whose key is accepted.
 *
 * @param request the request
 * @param route the route that it matches
 * @param organisation the organisation that the key belongs to, empty if the request has
 * no known key
 * @param configurationVersion the version of the configuration that admitted the request
 * @param deadlineNanos when the final response is due, in nanoseconds on the monotonic
 * clock
 */
record AdmittedRequest(CallerRequest request, Route route, Optional<Organisation> organisation,
		long configurationVersion, long deadlineNanos) {
}
