package io.bulrushrouter.daemon.sidecar;

import java.io.IOException;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.net.URI;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.TimeUnit;

import io.netty.channel.nio.NioEventLoopGroup;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

import io.bulrushrouter.http.StreamingHttpClient;
import io.bulrushrouter.kernel.AttemptId;
import io.bulrushrouter.kernel.ErrorCode;
import io.bulrushrouter.kernel.ModelId;
import io.bulrushrouter.kernel.OrganisationId;
import io.bulrushrouter.kernel.RequestId;
import io.bulrushrouter.request.CallKind;
import io.bulrushrouter.request.RequestSpec;
import io.bulrushrouter.request.SidecarEvent;

import static com.google.common.truth.Truth.assertThat;

/**
 * How the responses of an engine are converted to events.
 */
class EngineClientTests {

	private static final AttemptId ATTEMPT = new AttemptId(new RequestId(1, 1), 1);

	private static List<SidecarEvent> eventsOfStream(String response) throws Exception {
		BlockingQueue<SidecarEvent> events = new LinkedBlockingQueue<>();
		NioEventLoopGroup group = new NioEventLoopGroup(1);
		try (ServerSocket engine = new ServerSocket(0, 1, InetAddress.getLoopbackAddress());
				StreamingHttpClient http = StreamingHttpClient.of(group)) {
			Thread server = new Thread(() -> respond(engine, response));
			server.start();
			new EngineClient(http, URI.create("http://127.0.0.1:" + engine.getLocalPort()), events::add).run(ATTEMPT,
					RequestSpec.builder()
						.kind(CallKind.COMPLETION)
						.stream(true)
						.organisation(OrganisationId.of("bakers"))
						.model(ModelId.of("m"))
						.body("{}".getBytes(StandardCharsets.UTF_8))
						.build(),
					0);
			List<SidecarEvent> received = new ArrayList<>();
			SidecarEvent last;
			do {
				last = events.poll(20, TimeUnit.SECONDS);
				received.add(last);
			}
			while (last instanceof SidecarEvent.EngineHead || last instanceof SidecarEvent.EngineData);
			server.join();
			return received;
		}
		finally {
			group.shutdownGracefully(0, 1, TimeUnit.SECONDS).syncUninterruptibly();
		}
	}

	private static void respond(ServerSocket engine, String response) {
		try (Socket connection = engine.accept()) {
			byte[] head = new byte[1024];
			assertThat(connection.getInputStream().read(head)).isGreaterThan(0);
			connection.getOutputStream().write(response.getBytes(StandardCharsets.ISO_8859_1));
		}
		catch (IOException ex) {
			throw new IllegalStateException(ex);
		}
	}

	// Guards against a status of an engine that a caller takes for "has not run".
	@ParameterizedTest
	@ValueSource(ints = { 408, 421, 429, 503, 500 })
	void neverPassesOnAStatusThatSaysNotRun(int status) throws Exception {
		assertThat(eventsOfStream("HTTP/1.1 " + status + " Failed\r\nContent-Length: 0\r\n\r\n"))
			.containsExactly(new SidecarEvent.EngineFailed(ATTEMPT, ErrorCode.ENGINE_ERROR, true));
	}

	@Test
	void neverEndsAStreamThatBreaksInsideAnEventAsComplete() throws Exception {
		List<SidecarEvent> events = eventsOfStream(
				"HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\n\r\ndata: a\n\ndata: b");
		SidecarEvent last = events.get(events.size() - 1);
		assertThat(last).isEqualTo(new SidecarEvent.EngineFailed(ATTEMPT, ErrorCode.STREAM_BROKEN, true));
		assertThat(((SidecarEvent.EngineData) events.get(1)).bytes()).isEqualTo("data: a\n\n".getBytes());
		assertThat(events).hasSize(3);
	}

	@Test
	void endsAStreamThatEndsWithItsConnectionBetweenEvents() throws Exception {
		List<SidecarEvent> events = eventsOfStream(
				"HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\n\r\ndata: a\n\n");
		assertThat(events.get(events.size() - 1)).isEqualTo(new SidecarEvent.EngineEnd(ATTEMPT));
	}

}
