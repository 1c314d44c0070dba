package io.bulrushrouter.gateway.forward;

import java.net.ConnectException;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.net.SocketTimeoutException;
import java.time.Duration;
import java.util.List;
import java.util.Optional;

import org.junit.jupiter.api.Test;

import io.bulrushrouter.gateway.config.WarmupSpec;
import io.bulrushrouter.gateway.source.UpstreamRecord;

import static com.google.common.truth.Truth.assertThat;

/**
 * Upstreams of a service whose upstreams are cold for 20 s after their start and then
 * take 2 requests per second from all entries.
 */
class ColdUpstreamTests {

	private static final String OK = "HTTP/1.1 200 OK\r\nX-Attempt: id-1\r\nX-Stamp: s\r\nContent-Length: 5\r\n\r\nhello";

	private static final Optional<WarmupSpec> WARMUP = Optional
		.of(new WarmupSpec(Duration.ofSeconds(20), 2, GatewayFixture.PROBE_PATH));

	private static ScriptedUpstream start(String probeHeader) throws Exception {
		return ScriptedUpstream.start((number, request, reply) -> reply.write(OK)).probeHeader(probeHeader);
	}

	private static UpstreamRecord record(String id, InetSocketAddress address, long incarnation, long coldMillis) {
		return new UpstreamRecord(id, "service", address, "a", 8, false, incarnation, coldMillis);
	}

	private static String read(GatewayFixture gateway) throws Exception {
		try (GatewayFixture.Caller caller = gateway.caller()) {
			return caller.get("/read/").readResponse();
		}
	}

	@Test
	void prefersAWarmUpstreamToACloserColdOne() throws Exception {
		try (ScriptedUpstream cold = start("");
				ScriptedUpstream warm = start("");
				GatewayFixture gateway = new GatewayFixture(cold, warm)) {
			gateway.service(Optional.empty(), WARMUP);
			gateway.list(List.of(record("up-a", cold.address(), 0, 9_000), record("up-b", warm.address(), 0, 0)));
			for (int request = 0; request < 5; request++) {
				assertThat(read(gateway)).contains("hello");
			}
			assertThat(cold.requests()).isEmpty();
			assertThat(warm.requests()).hasSize(5);
		}
	}

	@Test
	void refusesAsNotRunWhatFindsOnlyColdUpstreamsWithoutRoom() throws Exception {
		try (ScriptedUpstream cold = start(""); GatewayFixture gateway = new GatewayFixture(cold)) {
			gateway.service(Optional.empty(), WARMUP);
			gateway.alone();
			gateway.list(List.of(record("up-a", cold.address(), 0, 9_000)));
			int refused = 0;
			for (int request = 0; request < 10; request++) {
				String response = read(gateway);
				if (response.startsWith("HTTP/1.1 503")) {
					assertThat(response).contains("retry-after: ");
					assertThat(response).contains("not-run");
					refused++;
				}
			}
			assertThat(refused).isAtLeast(8);
			assertThat(cold.requests().size()).isAtMost(2);
		}
	}

	@Test
	void asksAnUpstreamThatRestartedWhetherItIsWarm() throws Exception {
		try (ScriptedUpstream warm = start("X-Warmup: 0\r\n"); GatewayFixture gateway = new GatewayFixture(warm)) {
			gateway.service(Optional.empty(), WARMUP);
			gateway.list(List.of(record("up-a", warm.address(), 7, 0)));
			String first = read(gateway);
			while (first.startsWith("HTTP/1.1 503")) {
				first = read(gateway);
			}
			// More than a cold upstream takes at once.
			for (int request = 0; request < 5; request++) {
				assertThat(read(gateway)).contains("hello");
			}
		}
	}

	@Test
	void asksUpstreamsWhetherTheyAreColdWhileTheStoreIsUnavailable() throws Exception {
		try (ScriptedUpstream cold = start("X-Warmup: 9000\r\n");
				ScriptedUpstream warm = start("X-Warmup: 0\r\n");
				GatewayFixture gateway = new GatewayFixture(cold, warm)) {
			gateway.service(Optional.empty(), WARMUP);
			int coldUpstreams = gateway.sweepWithoutStore();
			while (coldUpstreams == 0) {
				coldUpstreams = gateway.sweepWithoutStore();
			}
			assertThat(read(gateway)).contains("hello");
			assertThat(cold.requests()).isEmpty();
		}
	}

	@Test
	void sparesAnUpstreamThatCameBackColdAfterACrash() throws Exception {
		try (ScriptedUpstream crashing = start("X-Warmup: 9000\r\n");
				ScriptedUpstream warm = start("");
				GatewayFixture gateway = new GatewayFixture(crashing, warm)) {
			gateway.service(Optional.empty(), WARMUP);
			crashing.crash();
			awaitRefusal(crashing.address());
			assertThat(read(gateway)).contains("hello");
			crashing.restart();
			for (int request = 0; request < 10; request++) {
				assertThat(read(gateway)).contains("hello");
			}
			assertThat(crashing.requests()).isEmpty();
		}
	}

	@Test
	void limitsRequestsToADataCentreThatIsColdAtTheEndOfItsEvacuation() throws Exception {
		try (ScriptedUpstream cold = start(""); GatewayFixture gateway = new GatewayFixture(cold)) {
			gateway.service(Optional.empty(), WARMUP);
			gateway.alone();
			gateway.evacuate("a", true);
			gateway.list(List.of(record("up-a", cold.address(), 5, 9_000)));
			assertThat(read(gateway)).startsWith("HTTP/1.1 503");
			gateway.evacuate("a", false);
			for (int request = 0; request < 10; request++) {
				read(gateway);
			}
			assertThat(cold.requests().size()).isAtMost(2);
		}
	}

	@Test
	void doesNotTakeASlowColdUpstreamForUnresponsive() throws Exception {
		try (ScriptedUpstream cold = ScriptedUpstream.startSuspended((number, request, reply) -> reply.write(OK));
				ScriptedUpstream warm = start("");
				GatewayFixture gateway = new GatewayFixture(cold);
				GatewayFixture.Caller caller = gateway.caller()) {
			gateway.service(Optional.empty(), WARMUP);
			UpstreamRecord coldRecord = record("up-a", cold.address(), 5, 60_000);
			gateway.list(List.of(coldRecord));
			gateway.alone();
			while (refused(caller)) {
				assertThat(cold.requests()).isEmpty();
			}
			gateway.list(List.of(coldRecord, record("up-b", warm.address(), 5, 0)));
			cold.resume();
			assertThat(caller.readResponse()).contains("hello");
			assertThat(warm.requests()).isEmpty();
		}
	}

	// The kernel accepts connections until the accepting thread has woken up.
	private static void awaitRefusal(InetSocketAddress address) throws Exception {
		boolean refused = false;
		while (!refused) {
			try (Socket accepted = new Socket(address.getAddress(), address.getPort())) {
				refused = !accepted.isConnected();
			}
			catch (ConnectException ex) {
				refused = true;
			}
		}
	}

	// A request that is not refused waits longer than the 550 ms of silence after which
	// it would leave a warm upstream.
	private static boolean refused(GatewayFixture.Caller caller) throws Exception {
		try {
			assertThat(caller.get("/read/").patience(1_200).readResponse()).startsWith("HTTP/1.1 503");
			return true;
		}
		catch (SocketTimeoutException ex) {
			caller.patience(20_000);
			return false;
		}
	}

}
