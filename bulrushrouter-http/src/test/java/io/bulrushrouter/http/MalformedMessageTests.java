package io.bulrushrouter.http;

import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.Map;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.TimeUnit;

import io.netty.channel.nio.NioEventLoopGroup;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

import static com.google.common.truth.Truth.assertThat;

/**
 * Guards against malformed messages that the server or the client takes for sound ones.
 */
class MalformedMessageTests {

	private static final int TIMEOUT_SECONDS = 20;

	private final NioEventLoopGroup group = new NioEventLoopGroup(1);

	private final List<String> handled = new CopyOnWriteArrayList<>();

	@AfterEach
	void stop() {
		this.group.shutdownGracefully(0, 1, TimeUnit.SECONDS).syncUninterruptibly();
	}

	private void handle(HttpExchange exchange) {
		this.handled.add(exchange.target());
		exchange.respond(HttpReply.ofText(200, "ok"));
	}

	private static String exchange(int port, String request) throws IOException {
		try (Socket socket = new Socket(InetAddress.getLoopbackAddress(), port)) {
			socket.setSoTimeout(TIMEOUT_SECONDS * 1_000);
			socket.getOutputStream().write(request.getBytes(StandardCharsets.ISO_8859_1));
			return new String(socket.getInputStream().readAllBytes(), StandardCharsets.ISO_8859_1);
		}
	}

	@ParameterizedTest
	@ValueSource(strings = { "POST /b HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n100000002\r\nok\r\n0\r\n\r\n",
			"POST /b HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nokay\r\n0\r\n\r\n",
			"POST /b HTTP/1.1\r\nContent-Length: 2\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n",
			"GET /b HTTP/1.1\r\nSome Name: a\r\n\r\n" })
	void serverRefusesAMalformedRequestBehindASoundOne(String malformed) throws Exception {
		InetSocketAddress address = new InetSocketAddress(InetAddress.getLoopbackAddress(), 0);
		try (HttpServer server = HttpServer.start(this.group, address, HttpLimits.ofDefaults(), this::handle)) {
			String answers = exchange(server.port(), "GET /a HTTP/1.1\r\nHost: a\r\n\r\n" + malformed);
			assertThat(answers).startsWith("HTTP/1.1 200 ");
			assertThat(answers).contains("HTTP/1.1 400 ");
			assertThat(this.handled).containsExactly("/a");
		}
	}

	private static void answer(ServerSocket server, String response) {
		try (Socket connection = server.accept()) {
			connection.getOutputStream().write(response.getBytes(StandardCharsets.ISO_8859_1));
			connection.getInputStream().readAllBytes();
		}
		catch (IOException ex) {
			// The client closed the connection.
			assertThat(ex).isNotNull();
		}
	}

	@ParameterizedTest
	@ValueSource(strings = { "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nokay\r\n0\r\n\r\n",
			"HTTP/1.1 2000 OK\r\nContent-Length: 2\r\n\r\nok",
			"HTTP/1.1 200 OK\r\nSome Name: a\r\nContent-Length: 2\r\n\r\nok" })
	void clientFailsAtAMalformedResponse(String response) throws Exception {
		CompletableFuture<String> outcome = new CompletableFuture<>();
		try (ServerSocket server = new ServerSocket(0, 1, InetAddress.getLoopbackAddress());
				StreamingHttpClient client = StreamingHttpClient.of(this.group)) {
			Thread answering = new Thread(() -> answer(server, response));
			answering.setDaemon(true);
			answering.start();
			client.send("GET", "http://127.0.0.1:" + server.getLocalPort() + "/", Map.of(), new byte[0],
					new HttpResponseListener() {

						@Override
						public void head(HttpResponseHead head) {
							// The end decides.
						}

						@Override
						public void part(byte[] bytes) {
							// The end decides.
						}

						@Override
						public void end() {
							outcome.complete("end");
						}

						@Override
						public void failed(boolean sent, Throwable cause) {
							outcome.complete("failed, sent=" + sent);
						}

					});
			assertThat(outcome.get(TIMEOUT_SECONDS, TimeUnit.SECONDS)).isEqualTo("failed, sent=true");
		}
	}

}
