package io.bulrushrouter.gateway.forward;

import java.time.Duration;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalInt;
import java.util.OptionalLong;

import org.junit.jupiter.api.Test;

import io.bulrushrouter.gateway.config.Access;
import io.bulrushrouter.gateway.config.CallerLimits;
import io.bulrushrouter.gateway.config.EngineSpec;
import io.bulrushrouter.gateway.config.GatewayConfiguration;
import io.bulrushrouter.gateway.config.Organisation;
import io.bulrushrouter.gateway.config.Route;
import io.bulrushrouter.gateway.config.RouteKind;
import io.bulrushrouter.gateway.config.ServiceSpec;
import io.bulrushrouter.gateway.config.WeightedService;

import static com.google.common.truth.Truth.assertThat;

/**
 * The priority that engines get with a stream: guards against an engine's queue that
 * serves less urgent streams first, against callers that choose their own priority where
 * the configuration has some, and against a change for deployments without priorities.
 */
class EnginePriorityTests {

	private static final String RESPONSE = "HTTP/1.1 200 OK\r\nX-Attempt: id-1\r\nX-Stamp: s1\r\n"
			+ "Content-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n"
			+ StreamText.chunk(StreamText.event(1)) + "0\r\n\r\n";

	private static GatewayConfiguration configuration(Optional<Duration> maxEventGap, int leastUrgent) {
		ServiceSpec service = new ServiceSpec("service", 8,
				Optional.of(new EngineSpec(8, 5, 0.5, 70_000, 6, 800, 150, OptionalLong.empty(), Optional.empty())));
		return new GatewayConfiguration(2,
				List.of(route("/urgent/", 0, maxEventGap), route("/batch/", leastUrgent, maxEventGap)),
				Map.of("service", service), CallerLimits.DEFAULTS, Access.ofOrganisations(
						List.of(new Organisation("bakers", List.of(GatewayFixture.KEY), OptionalInt.empty()))));
	}

	private static Route route(String prefix, int priority, Optional<Duration> maxEventGap) {
		return new Route(prefix, "test", prefix, RouteKind.STREAM, Duration.ofSeconds(5), Duration.ofMillis(300),
				priority, List.of(new WeightedService("service", 1)), 2, false, true, maxEventGap);
	}

	private static String requestAtUpstream(GatewayConfiguration configuration, String path) throws Exception {
		try (ScriptedUpstream upstream = ScriptedUpstream.start((number, request, reply) -> reply.write(RESPONSE));
				GatewayFixture gateway = new GatewayFixture(upstream)) {
			gateway.configure(configuration);
			try (GatewayFixture.Caller caller = gateway.caller()) {
				caller.get(path, "X-Priority: 3\r\n").readUntil("\r\n0\r\n\r\n");
			}
			return upstream.requests().get(0);
		}
	}

	@Test
	void tellsTheEngineThePriorityOfTheClass() throws Exception {
		GatewayConfiguration configuration = configuration(Optional.of(Duration.ofMillis(150)), 2);
		assertThat(requestAtUpstream(configuration, "/urgent/x")).contains("X-Priority: 0\r\n");
		assertThat(requestAtUpstream(configuration, "/batch/x")).contains("X-Priority: 9\r\n");
	}

	@Test
	void leavesThePriorityAloneWithoutClassesOrPauses() throws Exception {
		assertThat(requestAtUpstream(configuration(Optional.of(Duration.ofMillis(150)), 0), "/batch/x"))
			.contains("X-Priority: 3\r\n");
		assertThat(requestAtUpstream(configuration(Optional.empty(), 2), "/batch/x")).contains("X-Priority: 3\r\n");
	}

}
