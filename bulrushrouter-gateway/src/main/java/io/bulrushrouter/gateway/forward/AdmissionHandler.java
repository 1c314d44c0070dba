package io.bulrushrouter.gateway.forward;

import java.util.Optional;
import java.util.concurrent.TimeUnit;

import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

import io.bulrushrouter.gateway.config.ActiveConfiguration;
import io.bulrushrouter.gateway.config.Organisation;
import io.bulrushrouter.gateway.config.Route;
import io.bulrushrouter.kernel.ErrorCode;
import io.bulrushrouter.kernel.Verdict;

/**
 * Matches a request to its route, checks its key and computes its deadline. A request
 * that is refused here has not run.
 */
final class AdmissionHandler {

	private static final Logger logger = LoggerFactory.getLogger(AdmissionHandler.class);

	/**
	 * Upper bound of the deadline that a caller may set; the timeout of the route applies
	 * as well.
	 */
	private static final long MAX_DEADLINE_MILLIS = TimeUnit.HOURS.toMillis(1);

	private final GatewayContext context;

	AdmissionHandler(GatewayContext context) {
		this.context = context;
	}

	/**
	 * Admits a request, or sends the response that refuses it.
	 * @param request the request
	 * @param responseWriter writes the response to a refused request
	 * @return the admitted request, or empty if it was refused
	 */
	Optional<AdmittedRequest> admit(CallerRequest request, ResponseWriter responseWriter) {
		if (this.context.refusingRequests()) {
			return refuse(request, responseWriter, Verdict.ofNotRun(ErrorCode.DRAINING),
					"the gateway is shutting down");
		}
		if (!this.context.serving()) {
			return refuse(request, responseWriter, Verdict.ofNotRun(ErrorCode.NOT_READY),
					"no configuration or list of upstreams has been read yet");
		}
		ActiveConfiguration configuration = this.context.configuration().orElseThrow();
		String host = request.header("Host");
		Optional<Route> route = route(configuration, host, request.path());
		if (route.isEmpty()) {
			return refuseUnknown(request, responseWriter, ErrorCode.NOT_FOUND,
					"no route matches " + host + request.path());
		}
		String key = request.header(this.context.headers().key());
		Optional<Organisation> organisation = configuration.organisation(key);
		if (organisation.isEmpty() && lacksKey(configuration, route.get(), Optional.ofNullable(key))) {
			return refuseUnknown(request, responseWriter, ErrorCode.UNAUTHORISED, "the key is missing or unknown");
		}
		return Optional.of(new AdmittedRequest(request, route.get(), organisation, configuration.version(),
				deadline(request, route.get())));
	}

	/**
	 * Finds the route of a request.
	 * @param configuration the active configuration
	 * @param host the host that the request names, with or without a port
	 * @param path the path, without the query
	 * @return the route, or empty if none matches
	 */
	static Optional<Route> route(ActiveConfiguration configuration, String host, String path) {
		return configuration.route(withoutPort(host), path).or(() -> configuration.route(host, path));
	}

	/**
	 * Returns whether a request whose key belongs to no organisation is refused. A key
	 * that is not known, as one that was taken away, gives no access where none is needed
	 * either.
	 * @param configuration the active configuration
	 * @param route the request's route
	 * @param key the key that it has, or empty
	 * @return whether it needs a key or has an unknown one
	 */
	static boolean lacksKey(ActiveConfiguration configuration, Route route, Optional<String> key) {
		return !route.anonymous() && (configuration.requiresKeys() || key.isPresent());
	}

	private static String withoutPort(String host) {
		int colon = host.lastIndexOf(':');
		return (colon < 0) ? host : host.substring(0, colon);
	}

	private long deadline(CallerRequest request, Route route) {
		long millis = route.timeout().toMillis();
		String requested = request.header(this.context.headers().deadlineMillis());
		if (requested != null) {
			try {
				millis = Math.min(millis,
						Math.max(0, Math.min(Long.parseLong(requested.strip()), MAX_DEADLINE_MILLIS)));
			}
			catch (NumberFormatException ex) {
				logger.info("event=deadline-ignored value=\"{}\" reason=\"not a number\"", requested);
			}
		}
		return request.arrivedNanos() + TimeUnit.MILLISECONDS.toNanos(millis);
	}

	// Refuses a request whose route or key is not in the configuration. If the
	// configuration may be stale, the route or key may be in a newer one, so the caller
	// is asked to retry.
	private Optional<AdmittedRequest> refuseUnknown(CallerRequest request, ResponseWriter responseWriter,
			ErrorCode code, String detail) {
		long age = this.context.freshness().ageMillis();
		if (age > this.context.settings().maxConfigurationAge().toMillis()) {
			return refuse(request, responseWriter, Verdict.ofNotRun(ErrorCode.STORE_UNAVAILABLE),
					detail + ", and the configuration may be stale");
		}
		return refuse(request, responseWriter, Verdict.ofNotRun(code), detail);
	}

	private Optional<AdmittedRequest> refuse(CallerRequest request, ResponseWriter responseWriter, Verdict verdict,
			String detail) {
		ErrorCode code = verdict.failure().orElse(ErrorCode.INTERNAL);
		int status = code.httpStatus();
		this.context.metrics().countResponse(status, code.text());
		logger.info(
				"event=refused request={} status={} verdict={} code={} configuration={} proof-age-ms={} "
						+ "detail=\"{}\"",
				request.header(this.context.headers().attemptId()), status, verdict.text(), code.text(),
				this.context.configuration().map(ActiveConfiguration::version).orElse(-1L),
				this.context.freshness().ageMillis(), detail);
		ErrorResponse.send(responseWriter, status, verdict,
				(status == 503) ? RetryAfter.millis(code, this.context.random()) : 0);
		return Optional.empty();
	}

}
