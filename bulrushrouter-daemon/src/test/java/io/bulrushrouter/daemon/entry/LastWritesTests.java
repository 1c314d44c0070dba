package io.bulrushrouter.daemon.entry;

import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;

import io.netty.channel.EventLoopGroup;
import io.netty.channel.nio.NioEventLoopGroup;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;

import io.bulrushrouter.http.HttpExchange;
import io.bulrushrouter.http.HttpHandler;
import io.bulrushrouter.http.HttpLimits;
import io.bulrushrouter.http.HttpReply;
import io.bulrushrouter.http.HttpServer;
import io.bulrushrouter.kernel.ErrorCode;

import static com.google.common.truth.Truth.assertThat;

/**
 * Guards against a process that ends while the end of a response still waits for a late
 * event loop: the response counts as open until it is written.
 */
class LastWritesTests {

	private final EventLoopGroup group = new NioEventLoopGroup(1);

	private final CompletableFuture<HttpExchange> received = new CompletableFuture<>();

	@AfterEach
	void stop() {
		this.group.shutdownGracefully(0, 1, TimeUnit.SECONDS);
	}

	@Test
	void countsAResponseAsOpenUntilALateEventLoopHasWrittenIt() throws Exception {
		InetSocketAddress address = new InetSocketAddress(InetAddress.getLoopbackAddress(), 0);
		try (HttpServer server = HttpServer.start(this.group, address, HttpLimits.ofDefaults(), new Recorder());
				Socket caller = new Socket(address.getAddress(), server.port())) {
			caller.getOutputStream().write("GET / HTTP/1.1\r\nHost: x\r\n\r\n".getBytes(StandardCharsets.US_ASCII));
			HttpExchange exchange = this.received.get(20, TimeUnit.SECONDS);
			CountDownLatch late = new CountDownLatch(1);
			this.group.next().execute(() -> await(late));
			exchange.start(HttpReply.ofHead(200, "text/plain"));
			exchange.end();
			assertThat(server.openExchanges()).isEqualTo(1);
			late.countDown();
			this.group.next().submit(() -> assertThat(server.openExchanges()).isEqualTo(0)).get(20, TimeUnit.SECONDS);
		}
	}

	@Test
	void countsNoRequestWhoseCallerHasLeft() throws Exception {
		InetSocketAddress address = new InetSocketAddress(InetAddress.getLoopbackAddress(), 0);
		try (HttpServer server = HttpServer.start(this.group, address, HttpLimits.ofDefaults(), new Recorder())) {
			CountDownLatch left = new CountDownLatch(1);
			try (Socket caller = new Socket(address.getAddress(), server.port())) {
				caller.getOutputStream().write("GET / HTTP/1.1\r\nHost: x\r\n\r\n".getBytes(StandardCharsets.US_ASCII));
				this.received.get(20, TimeUnit.SECONDS).onClosed(left::countDown);
			}
			assertThat(left.await(20, TimeUnit.SECONDS)).isTrue();
			assertThat(server.openExchanges()).isEqualTo(0);
		}
	}

	private static void await(CountDownLatch latch) {
		try {
			latch.await();
		}
		catch (InterruptedException ex) {
			Thread.currentThread().interrupt();
		}
	}

	private final class Recorder implements HttpHandler {

		@Override
		public void handle(HttpExchange exchange) {
			LastWritesTests.this.received.complete(exchange);
		}

		@Override
		public void refuse(HttpExchange exchange, ErrorCode code) {
			throw new AssertionError(code);
		}

	}

}
