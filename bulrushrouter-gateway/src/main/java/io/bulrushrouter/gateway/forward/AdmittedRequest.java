package io.bulrushrouter.gateway.forward;

import java.util.Optional;

import io.bulrushrouter.gateway.config.Organisation;
import io.bulrushrouter.gateway.config.Route;

/**
 * A request that has a route and may be served.
 *
 * @param request the request
 * @param route its route
 * @param organisation the organisation that pays, empty if the route needs no key
 * @param configurationVersion the configuration that it was admitted by
 * @param deadlineNanos when its final answer is due, on the monotonic clock
 */
record AdmittedRequest(CallerRequest request, Route route, Optional<Organisation> organisation,
		long configurationVersion, long deadlineNanos) {
}
