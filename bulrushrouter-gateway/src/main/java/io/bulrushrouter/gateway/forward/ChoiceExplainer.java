package io.bulrushrouter.gateway.forward;

import java.util.ArrayList;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.stream.Collectors;

import io.bulrushrouter.gateway.admission.StreamAdmission;
import io.bulrushrouter.gateway.config.ActiveConfiguration;
import io.bulrushrouter.gateway.config.Organisation;
import io.bulrushrouter.gateway.config.Route;
import io.bulrushrouter.gateway.config.WeightedService;
import io.bulrushrouter.gateway.source.UpstreamRecord;
import io.bulrushrouter.gateway.upstream.AttemptSize;
import io.bulrushrouter.gateway.upstream.UpstreamExplanation;
import io.bulrushrouter.gateway.upstream.UpstreamNotices;
import io.bulrushrouter.gateway.upstream.UpstreamSelector;
import io.bulrushrouter.routing.admission.WaitingStream;

/**
 * Explains where a request would go now, and why, without sending it. Each answer comes
 * from the code that decides; only its text is made here. Runs on the event loop.
 */
public final class ChoiceExplainer {

	private final GatewayContext context;

	/**
	 * Creates an explainer.
	 * @param context the state shared by all requests
	 */
	public ChoiceExplainer(GatewayContext context) {
		this.context = context;
	}

	/**
	 * Explains what would happen to a request.
	 * @param query the parts of the request: {@code host}, {@code path}, and optionally
	 * {@code key} or {@code organisation}, {@code priority}, {@code prompt-tokens} and
	 * {@code returning}
	 * @return the lines of the explanation
	 * @throws IllegalArgumentException if the query names no host or path, or a number is
	 * none
	 */
	public List<String> explain(Map<String, String> query) {
		String host = require(query, "host");
		String path = require(query, "path");
		Optional<Integer> priority = number(query, "priority");
		long promptTokens = number(query, "prompt-tokens").orElse(0);
		if (this.context.refusingRequests() || !this.context.serving()) {
			return List.of("decision=refuse reason=" + (this.context.refusingRequests() ? "draining" : "not-ready"));
		}
		ActiveConfiguration configuration = this.context.configuration().orElseThrow();
		Optional<Route> route = AdmissionHandler.route(configuration, host, path);
		if (route.isEmpty()) {
			return List.of("decision=refuse reason=no-route configuration=" + configuration.version());
		}
		Optional<Organisation> organisation = Optional.ofNullable(query.get("organisation"))
			.flatMap(configuration::organisationNamed)
			.or(() -> configuration.organisation(query.get("key")));
		List<String> lines = new ArrayList<>();
		lines.add(describe(configuration, route.get(), organisation, priority));
		if (organisation.isEmpty()
				&& AdmissionHandler.lacksKey(configuration, route.get(), Optional.ofNullable(query.get("key")))) {
			lines.add("decision=refuse reason=no-known-key");
			return lines;
		}
		if (organisation.isPresent() && !this.context.keysVerified()) {
			lines.add("decision=refuse reason=keys-not-verified proof-age-ms=" + this.context.freshness().ageMillis());
			return lines;
		}
		boolean returning = Boolean.parseBoolean(query.get("returning"));
		for (WeightedService service : route.get().services()) {
			lines.add("service=" + service.service() + " weight=" + service.weight() + " "
					+ admission(service.service(), route.get(), organisation,
							priority.orElseGet(() -> route.get().priorityFor(organisation)), returning)
					+ expected(service.service(), route.get(), promptTokens));
			lines.addAll(this.context.explainUpstreams(service.service()));
		}
		return lines;
	}

	private static String require(Map<String, String> query, String name) {
		return Optional.ofNullable(query.get(name))
			.orElseThrow(() -> new IllegalArgumentException("missing parameter " + name));
	}

	private static Optional<Integer> number(Map<String, String> query, String name) {
		return Optional.ofNullable(query.get(name)).map((text) -> {
			try {
				return Integer.parseInt(text);
			}
			catch (NumberFormatException ex) {
				throw new IllegalArgumentException("parameter " + name + " is not a number: " + text, ex);
			}
		});
	}

	private static String describe(ActiveConfiguration configuration, Route route, Optional<Organisation> organisation,
			Optional<Integer> priority) {
		int effective = priority.orElseGet(() -> route.priorityFor(organisation));
		return "route=" + route.name() + " kind=" + route.kind().name().toLowerCase(Locale.ROOT) + " organisation="
				+ organisation.map(Organisation::name).orElse("-") + " priority=" + effective + " objective-ms="
				+ route.objective().toMillis() + " timeout-ms=" + route.timeout().toMillis() + " max-attempts="
				+ route.maxAttempts() + " configuration=" + configuration.version();
	}

	private String admission(String service, Route route, Optional<Organisation> organisation, int priority,
			boolean returning) {
		Optional<StreamAdmission<AdmissionTicket>> admission = this.context.admission(service, route);
		if (admission.isEmpty()) {
			return "decision=admit limit=none";
		}
		StreamAdmission<AdmissionTicket> found = admission.get();
		WaitingStream<AdmissionTicket> stream = AdmissionTicket.explained(found, organisation, priority, returning,
				this.context.nowNanos());
		StreamAdmission.State state = found.state(found.classOf(stream));
		return "class=" + found.classOf(stream) + " decision="
				+ switch (found.decide(stream, this.context.nowNanos())) {
					case ADMITTED -> "admit";
					case WAITING -> "wait";
					case REFUSED -> "refuse";
				} + " limit=" + state.limit() + " in-flight=" + state.inFlight() + " waiting=" + state.waiting()
				+ " predicted-interval-ms=" + Math.round(state.predictedMillis());
	}

	private String expected(String service, Route route, long promptTokens) {
		AttemptSize size = new AttemptSize(route.kind(), promptTokens, 0);
		return this.context.upstreamSelector()
			.expectedMillis(service, size)
			.stream()
			.mapToObj((millis) -> String.format(Locale.ROOT, " expected-ms=%.0f", millis))
			.findFirst()
			.orElse(" expected-ms=unknown");
	}

	/**
	 * Explains how each upstream of a service would take part in a choice.
	 * @param ready the upstreams that may get requests
	 * @param notices what the upstreams said about themselves
	 * @param selector selects an upstream
	 * @param nowNanos the current monotonic time, in nanoseconds
	 * @return a line for each upstream, and one if only a last resort is left or none
	 */
	static List<String> upstreams(List<UpstreamRecord> ready, UpstreamNotices notices, UpstreamSelector selector,
			long nowNanos) {
		List<UpstreamRecord> allowed = notices.allowed(ready, nowNanos);
		Set<String> allowedIds = allowed.stream().map(UpstreamRecord::id).collect(Collectors.toSet());
		List<String> lines = new ArrayList<>();
		boolean choice = false;
		for (UpstreamExplanation explanation : selector.explain(ready, Set.of(), nowNanos)) {
			boolean allows = allowedIds.contains(explanation.id());
			lines.add(explanation.text() + (allows ? "" : " not-allowed=by-its-notice"));
			choice |= allows && !explanation.isExcluded();
		}
		if (!choice) {
			lines.add(selector.lastResort(allowed, Set.of(), nowNanos)
				.map((upstream) -> "last-resort=" + upstream.id())
				.orElse("choice=none reason=no-upstream"));
		}
		return lines;
	}

}
