package io.bulrushrouter.gateway.forward;

import java.util.Optional;
import java.util.OptionalLong;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;

import org.junit.jupiter.api.Test;

import io.bulrushrouter.gateway.config.EngineSpec;

import static com.google.common.truth.Truth.assertThat;

/**
 * Requests and streams around the evacuation of the data centre of the first upstream.
 */
class EvacuatedDataCentreTests {

	private static final String HEAD = "HTTP/1.1 200 OK\r\nX-Attempt: id-1\r\nX-Stamp: s\r\n";

	private static final String OK = HEAD + "Content-Length: 5\r\n\r\nhello";

	private static void read(GatewayFixture gateway, String expected) throws Exception {
		try (GatewayFixture.Caller caller = gateway.caller()) {
			assertThat(caller.get("/read/").readResponse()).contains(expected);
		}
	}

	@Test
	void sendsNothingThereUntilTheEvacuationEnds() throws Exception {
		try (ScriptedUpstream here = ScriptedUpstream.start((number, request, reply) -> reply.write(OK));
				ScriptedUpstream there = ScriptedUpstream.start((number, request, reply) -> reply.write(OK));
				GatewayFixture gateway = new GatewayFixture(here, there)) {
			gateway.evacuate("a", true);
			read(gateway, "hello");
			assertThat(here.requests()).isEmpty();
			gateway.evacuate("b", true);
			read(gateway, "retry-after: ");
			assertThat(there.requests()).hasSize(1);
			gateway.evacuate("a", false);
			read(gateway, "hello");
			assertThat(here.requests()).hasSize(1);
		}
	}

	@Test
	void letsARunningStreamGoOnAndRetriesElsewhere() throws Exception {
		CountDownLatch evacuated = new CountDownLatch(1);
		try (ScriptedUpstream here = ScriptedUpstream.start((number, request, reply) -> {
			reply.write(HEAD + "Content-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n");
			reply.write(StreamText.chunk(StreamText.event(1)));
			await(evacuated);
			reply.write(StreamText.chunk(StreamText.event(2)));
		});
				ScriptedUpstream there = ScriptedUpstream.start((number, request, reply) -> reply.write(OK));
				GatewayFixture gateway = new GatewayFixture(here, there);
				GatewayFixture.Caller caller = gateway.caller()) {
			caller.post("/stream/x", "b").readUntil("data: e1");
			gateway.evacuate("a", true);
			evacuated.countDown();
			caller.readUntil("data: e2");
			assertThat(there.requests()).isEmpty();
			read(gateway, "hello");
			assertThat(here.requests()).hasSize(1);
		}
	}

	@Test
	void refusesAStreamAtOnceThoughItsQueueIsFullOfRunningOnesThere() throws Exception {
		EngineSpec engine = new EngineSpec(8, 5, 0.5, 70_000, 1, 800, 100, OptionalLong.empty(), Optional.empty());
		try (ScriptedUpstream here = ScriptedUpstream.start((number, request,
				reply) -> reply.write(HEAD + "Content-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n"
						+ StreamText.chunk(StreamText.event(1))));
				GatewayFixture gateway = new GatewayFixture(here);
				GatewayFixture.Caller first = gateway.caller();
				GatewayFixture.Caller second = gateway.caller();
				GatewayFixture.Caller third = gateway.caller()) {
			gateway.service(Optional.of(engine), Optional.empty());
			first.post("/stream/x", "b").readUntil("data: e1");
			second.post("/stream/x", "b").readUntil("data: e1");
			gateway.evacuate("a", true);
			assertThat(third.post("/stream/x", "b").readResponse()).contains("no-upstream");
		}
	}

	private static void await(CountDownLatch latch) {
		try {
			latch.await(10, TimeUnit.SECONDS);
		}
		catch (InterruptedException ex) {
			Thread.currentThread().interrupt();
		}
	}

}
