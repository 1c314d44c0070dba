package io.bulrushrouter.gateway.forward;

import java.util.Map;

import org.junit.jupiter.api.Test;

import static com.google.common.truth.Truth.assertThat;
import static org.junit.jupiter.api.Assertions.assertThrows;

/**
 * Explanation of where a request would go.
 */
class ChoiceExplainerTests {

	private static final Map<String, String> READ = Map.of("host", "test:80", "path", "/read/x", "organisation",
			"bakers");

	// Guards against an explanation that differs from what happens to the request, and
	// against one that sends it.
	@Test
	void namesTheRouteAndTheCostOfEachUpstreamWithoutSendingTheRequest() throws Exception {
		try (ScriptedUpstream near = ScriptedUpstream.start((number, request, reply) -> reply.close());
				ScriptedUpstream far = ScriptedUpstream.start((number, request, reply) -> reply.close());
				GatewayFixture gateway = new GatewayFixture(near, far)) {
			String[] lines = gateway.explain(READ).split("\n");
			assertThat(lines).hasLength(4);
			assertThat(lines[0]).startsWith("route=/read/ kind=idempotent organisation=bakers priority=1");
			assertThat(lines[1]).startsWith("service=service weight=1.0 decision=admit");
			assertThat(lines[2]).startsWith("upstream=up-a data-centre=a excluded=none in-flight=0 capacity=1.00");
			assertThat(lines[3]).contains("distance-cost=0.40");
			assertThat(near.requests()).isEmpty();
			assertThat(far.requests()).isEmpty();
		}
	}

	// Guards against an explanation that leaves out why an upstream is not chosen.
	@Test
	void namesWhyAnUpstreamIsExcluded() throws Exception {
		try (ScriptedUpstream failing = ScriptedUpstream.start((number, request, reply) -> reply.close());
				GatewayFixture gateway = new GatewayFixture(failing)) {
			for (int count = 0; count < 2; count++) {
				try (GatewayFixture.Caller caller = gateway.caller()) {
					caller.get("/read/").readResponse();
				}
			}
			assertThat(gateway.explain(READ)).contains("excluded=ejected");
			assertThat(gateway.explain(READ)).contains("last-resort=up-a");
		}
	}

	// Guards against an explanation of a request that would be refused before a choice.
	@Test
	void namesWhyARequestIsRefused() throws Exception {
		try (GatewayFixture gateway = new GatewayFixture()) {
			assertThat(gateway.explain(Map.of("host", "test", "path", "/other/"))).contains("reason=no-route");
			assertThat(gateway.explain(Map.of("host", "test", "path", "/read/"))).contains("reason=no-known-key");
			assertThat(gateway.explain(READ)).contains("choice=none reason=no-upstream");
			gateway.setProofAge(60_000);
			assertThat(gateway.explain(READ)).contains("reason=keys-not-verified");
			assertThrows(Exception.class, () -> gateway.explain(Map.of("host", "test")));
		}
	}

}
