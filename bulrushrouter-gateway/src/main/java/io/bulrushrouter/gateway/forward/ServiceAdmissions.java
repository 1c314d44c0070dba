package io.bulrushrouter.gateway.forward;

import java.time.Duration;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.TimeUnit;
import java.util.stream.Stream;

import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

import io.bulrushrouter.gateway.admission.AdmissionSettings;
import io.bulrushrouter.gateway.admission.StreamAdmission;
import io.bulrushrouter.gateway.config.ActiveConfiguration;
import io.bulrushrouter.gateway.config.EngineSpec;
import io.bulrushrouter.gateway.config.Route;
import io.bulrushrouter.gateway.config.ServiceSpec;
import io.bulrushrouter.routing.admission.PaceLimit;
import io.bulrushrouter.routing.admission.PriorityClasses;

/**
 * The admission of streams to each service with model engines, as the configuration
 * defines it. Accessed on the event loop only.
 */
final class ServiceAdmissions {

	private static final Logger logger = LoggerFactory.getLogger(ServiceAdmissions.class);

	/** Minimum interval between log lines about waiting streams. */
	private static final long LOG_INTERVAL_NANOS = TimeUnit.SECONDS.toNanos(5);

	private final GatewayContext context;

	private final Map<String, Service> services = new HashMap<>();

	ServiceAdmissions(GatewayContext context) {
		this.context = context;
	}

	/**
	 * Returns the admission of a service, with its limits set to the current number of
	 * slots.
	 * @param service the service
	 * @param configuration the active configuration
	 * @return the admission, or empty if the service has no model engines
	 */
	Optional<StreamAdmission<AdmissionTicket>> find(String service, ActiveConfiguration configuration) {
		Service known = this.services.get(service);
		if (known == null || known.configuration != configuration) {
			Optional<EngineSpec> engine = configuration.service(service).flatMap(ServiceSpec::engine);
			List<Route> routes = configuration.streamRoutes(service);
			if (engine.isEmpty() || routes.isEmpty()) {
				return Optional.empty();
			}
			known = configure(service, known, settings(engine.get(), routes, configuration));
			known.configuration = configuration;
		}
		known.admission.slots(this.context.slots(service), this.context.entries());
		known.scheduleSweep();
		return Optional.of(known.admission);
	}

	private Service configure(String name, Service known, AdmissionSettings settings) {
		if (known != null && known.admission.reconfigure(settings, this.context.nowNanos())) {
			return known;
		}
		Service created = new Service(name, settings);
		this.services.put(name, created);
		return created;
	}

	private static AdmissionSettings settings(EngineSpec engine, List<Route> routes,
			ActiveConfiguration configuration) {
		PriorityClasses classes = classes(routes, configuration);
		// Among streams of one priority the limit by pauses makes some of them late in
		// place of others; it pays where it leaves room for urgent ones.
		Optional<Duration> maxEventGap = routes.stream()
			.flatMap((route) -> route.maxEventGap().stream())
			.min(Duration::compareTo)
			.filter((gap) -> classes.count() > 1);
		Duration objective = routes.stream().map(Route::objective).min(Duration::compareTo).orElseThrow();
		return new AdmissionSettings(objective, maxEventGap, engine.fixedPassMillis(),
				engine.meanPromptTokens() + engine.meanAnswerTokens(),
				maxEventGap.isPresent() ? classes : PriorityClasses.SINGLE);
	}

	private static PriorityClasses classes(List<Route> routes, ActiveConfiguration configuration) {
		List<Integer> ofRoutes = routes.stream().map(Route::priority).distinct().toList();
		if (ofRoutes.size() == 1) {
			return PriorityClasses.SINGLE;
		}
		Stream<Integer> ofOrganisations = configuration.organisations()
			.stream()
			.flatMap((organisation) -> organisation.priority().stream().boxed());
		return PriorityClasses.of(Stream.concat(ofRoutes.stream(), ofOrganisations).toList());
	}

	/**
	 * The admission to one service.
	 */
	private final class Service implements StreamAdmission.Callbacks<AdmissionTicket> {

		private final String name;

		private final StreamAdmission<AdmissionTicket> admission;

		private final AdmissionMetrics metrics;

		private ActiveConfiguration configuration;

		private boolean sweepScheduled;

		private long nextLogNanos = Long.MIN_VALUE;

		private Service(String name, AdmissionSettings settings) {
			this.name = name;
			GatewayContext context = ServiceAdmissions.this.context;
			this.metrics = context.metrics().admission(name);
			this.admission = new StreamAdmission<>(settings, this, this.metrics::predictionRatio, context.nowNanos());
		}

		@Override
		public void admitted(AdmissionTicket ticket) {
			this.metrics.admitted(ticket.priorityClass(), ticket.waitNanos());
			ticket.admitted();
		}

		@Override
		public void refused(AdmissionTicket ticket) {
			this.metrics.refused(ticket.priorityClass(), ticket.waitNanos());
			ticket.refused();
		}

		private void logWaiting(long nowNanos) {
			StreamAdmission.State state = this.admission.state(0);
			if (state.waiting() == 0 || nowNanos < this.nextLogNanos) {
				return;
			}
			this.nextLogNanos = nowNanos + LOG_INTERVAL_NANOS;
			logger.info("event=streams-waiting service={} waiting={} in-flight={} limit={} interval-ms={} {}",
					this.name, state.waiting(), state.inFlight(), state.limit(),
					Math.round(this.admission.observedMillis()), this.admission.describeHolders());
		}

		private void scheduleSweep() {
			if (!this.sweepScheduled) {
				this.sweepScheduled = true;
				ServiceAdmissions.this.context.loop()
					.schedule(this::sweep, PaceLimit.SWEEP_MILLIS, TimeUnit.MILLISECONDS);
			}
		}

		private void sweep() {
			this.sweepScheduled = false;
			GatewayContext context = ServiceAdmissions.this.context;
			long nowNanos = context.nowNanos();
			this.admission.slots(context.slots(this.name), context.entries());
			this.admission.sweep(nowNanos);
			logWaiting(nowNanos);
			if (this.admission.active()) {
				scheduleSweep();
			}
		}

	}

}
