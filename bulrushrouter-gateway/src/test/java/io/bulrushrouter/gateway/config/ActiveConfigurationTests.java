package io.bulrushrouter.gateway.config;

import java.time.Duration;
import java.util.List;
import java.util.Map;
import java.util.OptionalInt;

import org.junit.jupiter.api.Test;

import static com.google.common.truth.Truth.assertThat;

/**
 * Lookup of routes and organisations in a configuration, and the decisions of a route.
 */
class ActiveConfigurationTests {

	private static final Organisation BAKERS = new Organisation("bakers", List.of("k1", "k2"), OptionalInt.empty());

	private final ActiveConfiguration configuration = ActiveConfiguration
		.of(new GatewayConfiguration(3, List.of(route("short", "/a/"), route("long", "/a/b/")), Map.of(),
				CallerLimits.DEFAULTS, Access.ofOrganisations(List.of(BAKERS))));

	private static Route route(String name, String prefix) {
		return new Route(name, "host", prefix, RouteKind.IDEMPOTENT, Duration.ofSeconds(1), Duration.ofMillis(300), 1,
				List.of(new WeightedService("x", 90), new WeightedService("y", 10)), 2, false, false);
	}

	private String routeOf(String host, String path) {
		return this.configuration.route(host, path).map(Route::name).orElse("-");
	}

	@Test
	void selectsTheRouteWithTheLongestPrefix() {
		assertThat(routeOf("host", "/a/b/c")).isEqualTo("long");
		assertThat(routeOf("host", "/a/bc")).isEqualTo("short");
		assertThat(routeOf("host", "/b/")).isEqualTo("-");
		assertThat(routeOf("other", "/a/b/")).isEqualTo("-");
	}

	@Test
	void findsTheOrganisationOfEachKey() {
		assertThat(this.configuration.organisation("k2")).hasValue(BAKERS);
		assertThat(this.configuration.organisation("k3")).isEmpty();
		assertThat(this.configuration.organisation(null)).isEmpty();
	}

	@Test
	void picksServicesByWeight() {
		Route route = route("split", "/");
		assertThat(route.service(0)).isEqualTo("x");
		assertThat(route.service(0.89)).isEqualTo("x");
		assertThat(route.service(0.91)).isEqualTo("y");
		assertThat(route.service(0.9999)).isEqualTo("y");
	}

	@Test
	void repeatsOnlyIdempotentAndResumableRequests() {
		assertThat(routeOfKind(RouteKind.IDEMPOTENT, false).repeatable()).isTrue();
		assertThat(routeOfKind(RouteKind.NON_IDEMPOTENT, true).repeatable()).isFalse();
		assertThat(routeOfKind(RouteKind.STREAM, false).repeatable()).isFalse();
		assertThat(routeOfKind(RouteKind.STREAM, true).repeatable()).isTrue();
	}

	private static Route routeOfKind(RouteKind kind, boolean resumable) {
		return new Route("r", "host", "/", kind, Duration.ofSeconds(1), Duration.ofMillis(300), 1, List.of(), 2, false,
				resumable);
	}

}
