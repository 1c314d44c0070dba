package io.bulrushrouter.gateway.forward;

import org.junit.jupiter.api.Test;

import static com.google.common.truth.Truth.assertThat;

/**
 * Guards against callers that cost memory and work after their request was refused.
 */
class RefusedCallerTests {

	@Test
	void holdNothingOfARefusedRequestAndDecodeNothingBehindIt() {
		PipeliningCaller caller = new PipeliningCaller();
		caller.send("GET /1 HTTP/1.1\r\n\r\n");
		caller.send("GET /2 HTTP/1.1\r\nHost: h\r\n" + "a:\r\n".repeat(500));
		caller.read(Integer.MAX_VALUE);
		assertThat(caller.answers()).hasSize(1);
		assertThat(caller.answers().get(0)).startsWith("400");
		assertThat(caller.gateway().heldBytes()).isEqualTo(0);
		caller.send("b:\r\n".repeat(500));
		caller.read(Integer.MAX_VALUE);
		assertThat(caller.gateway().heldBytes()).isEqualTo(0);
		assertThat(caller.gateway().waitingReads()).isAtMost(1);
	}

}
