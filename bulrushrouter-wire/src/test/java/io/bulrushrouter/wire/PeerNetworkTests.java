package io.bulrushrouter.wire;

import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.time.Duration;
import java.util.Random;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;

import io.netty.channel.EventLoopGroup;
import io.netty.channel.nio.NioEventLoopGroup;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;

import static com.google.common.truth.Truth.assertThat;

/**
 * Guards against a process that ends while its last messages wait for a late event loop.
 */
class PeerNetworkTests {

	private final EventLoopGroup group = new NioEventLoopGroup(1);

	private final CompletableFuture<PeerConnection> connected = new CompletableFuture<>();

	@AfterEach
	void stop() {
		this.group.shutdownGracefully(0, 1, TimeUnit.SECONDS);
	}

	@Test
	void waitsUntilALateEventLoopHasWrittenWhatWasSent() throws Exception {
		CountDownLatch late = new CountDownLatch(1);
		try (PeerNetwork network = PeerNetwork.of(this.group, new WireMessage.Hello("own", "own", "entry", "a", 1),
				new Recorder(), new Random(1))) {
			int port = network.listen(new InetSocketAddress(InetAddress.getLoopbackAddress(), 0));
			network.connect(new InetSocketAddress(InetAddress.getLoopbackAddress(), port));
			PeerConnection connection = this.connected.get(20, TimeUnit.SECONDS);
			this.group.next().submit(() -> late.await(20, TimeUnit.SECONDS));
			assertThat(connection.send(new WireMessage.Control("last", new byte[0]))).isTrue();
			assertThat(network.awaitWritten(Duration.ofMillis(20))).isFalse();
			late.countDown();
			assertThat(network.awaitWritten(Duration.ofSeconds(20))).isTrue();
		}
	}

	private final class Recorder implements PeerHandler {

		@Override
		public void connected(PeerConnection connection) {
			PeerNetworkTests.this.connected.complete(connection);
		}

		@Override
		public void received(PeerConnection connection, WireMessage message) {
		}

		@Override
		public void closed(PeerConnection connection) {
		}

	}

}
