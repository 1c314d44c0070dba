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
 * Decides whether a request may be served: its route, its key, its deadline. What it
 * refuses has not run.
 */
final class AdmissionDesk {

	private static final Logger logger = LoggerFactory.getLogger(AdmissionDesk.class);

	/**
	 * The longest deadline that is taken as such; a longer one is the route's timeout.
	 */
	private static final long LONGEST_DEADLINE_MILLIS = TimeUnit.HOURS.toMillis(1);

	private final GatewayContext context;

	AdmissionDesk(GatewayContext context) {
		this.context = context;
	}

	/**
	 * Admits a request, or answers it.
	 * @param request the request
	 * @param caller takes the answer of a refused request
	 * @return the admitted request, or empty if it was refused
	 */
	Optional<Admitted> admit(CallerRequest request, CallerLink caller) {
		if (this.context.refusing()) {
			return refuse(request, caller, Verdict.ofNotRun(ErrorCode.DRAINING), "this entry stops");
		}
		if (!this.context.serving()) {
			return refuse(request, caller, Verdict.ofNotRun(ErrorCode.NOT_READY), "no configuration or upstreams yet");
		}
		ActiveConfiguration configuration = this.context.configuration().orElseThrow();
		String host = request.header("Host");
		Optional<Route> route = configuration.route(withoutPort(host), request.path())
			.or(() -> configuration.route(host, request.path()));
		if (route.isEmpty()) {
			return unknown(request, caller, ErrorCode.NOT_FOUND, "no route for " + host + request.path());
		}
		Optional<Organisation> organisation = configuration.organisation(request.header(this.context.headers().key()));
		if (organisation.isEmpty() && configuration.requiresKeys() && !route.get().anonymous()) {
			return unknown(request, caller, ErrorCode.UNAUTHORISED, "the key is missing or unknown");
		}
		return Optional.of(new Admitted(request, route.get(), organisation, configuration.version(),
				deadline(request, route.get())));
	}

	private static String withoutPort(String host) {
		int colon = host.lastIndexOf(':');
		return (colon < 0) ? host : host.substring(0, colon);
	}

	private long deadline(CallerRequest request, Route route) {
		long millis = route.timeout().toMillis();
		String asked = request.header(this.context.headers().deadlineMillis());
		if (asked != null) {
			try {
				millis = Math.min(millis,
						Math.max(0, Math.min(Long.parseLong(asked.strip()), LONGEST_DEADLINE_MILLIS)));
			}
			catch (NumberFormatException ex) {
				logger.info("event=deadline-ignored value=\"{}\" reason=\"no number\"", asked);
			}
		}
		return request.arrivedNanos() + TimeUnit.MILLISECONDS.toNanos(millis);
	}

	// Refuses a request that the configuration in force does not know. While a newer one
	// may be in force elsewhere, the caller is asked to come back instead.
	private Optional<Admitted> unknown(CallerRequest request, CallerLink caller, ErrorCode code, String detail) {
		long age = this.context.freshness().ageMillis();
		if (age > this.context.settings().configurationFreshness().toMillis()) {
			return refuse(request, caller, Verdict.ofNotRun(ErrorCode.STORE_UNAVAILABLE),
					detail + ", by a configuration that may be old");
		}
		return refuse(request, caller, Verdict.ofNotRun(code), detail);
	}

	private Optional<Admitted> refuse(CallerRequest request, CallerLink caller, Verdict verdict, String detail) {
		ErrorCode code = verdict.failure().orElse(ErrorCode.INTERNAL);
		int status = code.httpStatus();
		this.context.metrics().answered(status, code.text());
		logger.info(
				"event=refused request={} status={} verdict={} code={} configuration={} proof-age-ms={} "
						+ "detail=\"{}\"",
				request.header(this.context.headers().attemptId()), status, verdict.text(), code.text(),
				this.context.configuration().map(ActiveConfiguration::version).orElse(-1L),
				this.context.freshness().ageMillis(), detail);
		Refusal.send(caller, status, verdict, (status == 503) ? RetryAfter.millis(this.context.random()) : 0);
		return Optional.empty();
	}

}
