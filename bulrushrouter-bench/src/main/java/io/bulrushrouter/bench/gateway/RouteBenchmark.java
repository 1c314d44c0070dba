package io.bulrushrouter.bench.gateway;

import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalInt;
import java.util.concurrent.TimeUnit;

import org.openjdk.jmh.annotations.Benchmark;
import org.openjdk.jmh.annotations.BenchmarkMode;
import org.openjdk.jmh.annotations.Fork;
import org.openjdk.jmh.annotations.Measurement;
import org.openjdk.jmh.annotations.Mode;
import org.openjdk.jmh.annotations.OutputTimeUnit;
import org.openjdk.jmh.annotations.Scope;
import org.openjdk.jmh.annotations.State;
import org.openjdk.jmh.annotations.Warmup;

import io.bulrushrouter.gateway.config.Access;
import io.bulrushrouter.gateway.config.ActiveConfiguration;
import io.bulrushrouter.gateway.config.CallerLimits;
import io.bulrushrouter.gateway.config.GatewayConfiguration;
import io.bulrushrouter.gateway.config.Organisation;
import io.bulrushrouter.gateway.config.Route;
import io.bulrushrouter.gateway.config.RouteKind;
import io.bulrushrouter.gateway.config.WeightedService;

/**
 * Measures the lookup of a request's route by host and path and of its organisation by
 * key, among 230 routes and 1,600 organisations.
 */
@State(Scope.Benchmark)
@BenchmarkMode(Mode.AverageTime)
@OutputTimeUnit(TimeUnit.NANOSECONDS)
@Warmup(iterations = 3, time = 1)
@Measurement(iterations = 5, time = 1)
@Fork(1)
public class RouteBenchmark {

	private static final int ROUTES = 230;

	private static final int ORGANISATIONS = 1_600;

	private final ActiveConfiguration configuration = configuration();

	private static ActiveConfiguration configuration() {
		List<Route> routes = new ArrayList<>();
		for (int route = 0; route < ROUTES; route++) {
			routes.add(new Route("r-" + route, "host-" + route % 3, "/path" + route + "/", RouteKind.STREAM,
					Duration.ofSeconds(8), Duration.ofMillis(400), 1, List.of(new WeightedService("s", 1)), 2, false,
					true));
		}
		List<Organisation> organisations = new ArrayList<>();
		for (int index = 0; index < ORGANISATIONS; index++) {
			organisations.add(new Organisation("o-" + index, List.of("key-" + index), OptionalInt.empty()));
		}
		return ActiveConfiguration.of(new GatewayConfiguration(1, routes, Map.of(), CallerLimits.DEFAULTS,
				Access.ofOrganisations(organisations)));
	}

	/**
	 * Looks up the route and the organisation.
	 * @return whether both were found
	 */
	@Benchmark
	public boolean routeAndOrganisation() {
		Optional<Route> route = this.configuration.route("host-1", "/path121/a/b");
		return route.isPresent() && this.configuration.organisation("key-800").isPresent();
	}

}
