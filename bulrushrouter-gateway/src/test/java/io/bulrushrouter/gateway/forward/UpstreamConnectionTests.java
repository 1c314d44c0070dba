package io.bulrushrouter.gateway.forward;

import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;

import io.micrometer.core.instrument.simple.SimpleMeterRegistry;
import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import io.netty.channel.embedded.EmbeddedChannel;
import io.netty.channel.socket.ChannelInputShutdownEvent;
import io.netty.handler.codec.http.DefaultFullHttpRequest;
import io.netty.handler.codec.http.HttpMethod;
import io.netty.handler.codec.http.HttpResponse;
import io.netty.handler.codec.http.HttpVersion;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

import io.bulrushrouter.kernel.Verdict;

import static com.google.common.truth.Truth.assertThat;
import static com.google.common.truth.Truth.assertWithMessage;

/**
 * What a connection to an upstream reports of responses that end with the connection, and
 * of bytes that belong to no response.
 */
class UpstreamConnectionTests {

	private final EmbeddedChannel channel = new EmbeddedChannel();

	private final List<String> reported = new ArrayList<>();

	private UpstreamConnection receive(String response) {
		UpstreamConnection connection = new UpstreamConnection("up-a", this.channel,
				(idle) -> this.reported.add("idle"), (closed) -> this.reported.add("closed"), System::nanoTime,
				new MemoryLedger(() -> 0),
				new MalformedResponses(new ForwardMetrics(new SimpleMeterRegistry()), System::nanoTime));
		this.channel.pipeline().addLast(connection.handlers());
		connection.send(new DefaultFullHttpRequest(HttpVersion.HTTP_1_1, HttpMethod.GET, "/"), Optional.empty(),
				new Recorder());
		this.channel.releaseOutbound();
		this.channel.writeInbound(Unpooled.copiedBuffer(response, StandardCharsets.ISO_8859_1));
		return connection;
	}

	private void receiveUnframedResponse() {
		receive("HTTP/1.1 200 OK\r\n\r\nsome bytes");
	}

	// A late copy of the response would otherwise stay unread until the next request.
	@Test
	void readsAnIdleConnectionThoughTheCallerOfTheLastResponseReadNothing() {
		UpstreamConnection connection = receive("HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\no");
		connection.reading(false);
		this.channel.writeInbound(Unpooled.copiedBuffer("k", StandardCharsets.ISO_8859_1));
		assertThat(this.reported).containsExactly("head", "o", "k", "end", "idle").inOrder();
		assertThat(this.channel.config().isAutoRead()).isTrue();
	}

	@Test
	void neverReportsTheEndOfAnUnframedResponseWhoseConnectionIsClosedHere() {
		receiveUnframedResponse();
		this.channel.close();
		assertThat(this.reported).containsExactly("head", "some bytes", "failure", "closed").inOrder();
	}

	@Test
	void reportsTheEndOfAnUnframedResponseWhoseConnectionTheUpstreamEnds() {
		receiveUnframedResponse();
		this.channel.pipeline().fireUserEventTriggered(ChannelInputShutdownEvent.INSTANCE);
		assertThat(this.reported).containsExactly("head", "some bytes", "end", "closed").inOrder();
		assertThat(this.channel.isOpen()).isFalse();
	}

	// Guards against a second answer whose beginning stays in the decoder of a reused
	// connection.
	@Test
	void neverReusesAConnectionOnWhichBytesFollowAResponse() {
		String response = "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok";
		for (String stray : List.of("H", "HTTP/1.1", "HTTP/1.1 200 OK", response)) {
			UpstreamConnectionTests each = new UpstreamConnectionTests();
			each.receive(response + stray);
			assertWithMessage(stray).that(each.reported).containsExactly("head", "ok", "end", "closed").inOrder();
		}
	}

	// Guards against a head whose status is that of a second answer to an earlier
	// request.
	@ParameterizedTest
	@ValueSource(strings = { "HTTP/1.1 500 Error", "HTTP/1.1  500 Error", "http/1.1 500 Error", "HTTP/1.1\t500" })
	void neverReportsAHeadThatIsPutTogetherFromTwo(String statusLine) {
		String answer = statusLine + "\r\nId: 2\r\nStamp: t\r\nContent-Length: 0\r\n\r\n";
		String end = "\r\nId: 1\r\nStamp: s\r\nContent-Length: 2\r\n\r\n";
		for (String second : List.of("HTTP/1.1 200 OK\r\nType: text" + end, "HTTP/1.1 204 \r\ntype : text" + end,
				"HTTP/1.1 103 Early\r\nLink: x\r\n folded" + end, "HTTP/1.0 200 OK\nType:text" + end)) {
			for (int length = 1; length < second.length(); length++) {
				UpstreamConnectionTests each = new UpstreamConnectionTests();
				each.receive(second.substring(0, length) + answer);
				assertWithMessage(second.substring(0, length)).that(each.reported)
					.containsExactly("failure", "closed")
					.inOrder();
			}
		}
	}

	private final class Recorder implements ResponseHandler {

		@Override
		public void onHead(HttpResponse head) {
			UpstreamConnectionTests.this.reported.add("head");
		}

		@Override
		public void onContent(ByteBuf part) {
			UpstreamConnectionTests.this.reported.add(part.toString(StandardCharsets.ISO_8859_1));
			part.release();
		}

		@Override
		public void onEnd() {
			UpstreamConnectionTests.this.reported.add("end");
		}

		@Override
		public void onFailure(Verdict verdict, String detail) {
			UpstreamConnectionTests.this.reported.add("failure");
		}

	}

}
