package io.bulrushrouter.gateway.forward;

import java.util.ArrayList;
import java.util.List;

import org.junit.jupiter.api.Test;

import static com.google.common.truth.Truth.assertThat;

/**
 * Upstreams that name the number of requests per second that they take from all entries.
 */
class NamedLimitTests {

	private static final int ENTRIES = 4;

	private static final int REQUESTS_PER_ENTRY = 10;

	/** One and a half times a limit of 1 request per second in 4 s, plus 5 requests. */
	private static final int ALLOWED_IN_FOUR_SECONDS = 11;

	private static final String OK = "HTTP/1.1 200 OK\r\nX-Attempt: id-1\r\nX-Stamp: s\r\nContent-Length: 5\r\n%s\r\nhello";

	@Test
	void neverSendsAnUpstreamFarMoreRequestsThanItNamedAsItsLimit() throws Exception {
		try (ScriptedUpstream limited = ScriptedUpstream
			.start((number, request, reply) -> reply.write(OK.formatted("X-Limit: 1.0\r\n")));
				ScriptedUpstream unlimited = ScriptedUpstream
					.start((number, request, reply) -> reply.write(OK.formatted("")))) {
			List<GatewayFixture> entries = new ArrayList<>();
			try {
				for (int index = 0; index < ENTRIES; index++) {
					entries.add(new GatewayFixture(limited, unlimited));
				}
				for (GatewayFixture entry : entries) {
					for (int request = 0; request < REQUESTS_PER_ENTRY; request++) {
						try (GatewayFixture.Caller caller = entry.caller()) {
							assertThat(caller.get("/read/").readResponse()).contains("hello");
						}
					}
				}
			}
			finally {
				entries.forEach(GatewayFixture::close);
			}
			assertThat(limited.requests().size()).isAtMost(ALLOWED_IN_FOUR_SECONDS);
		}
	}

}
