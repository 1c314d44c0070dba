package io.bulrushrouter.gateway.forward;

import java.nio.charset.StandardCharsets;

import io.netty.buffer.Unpooled;
import io.netty.channel.embedded.EmbeddedChannel;
import io.netty.handler.codec.http.HttpResponse;
import org.junit.jupiter.api.Test;

import io.bulrushrouter.http.CompactHeaders;

import static com.google.common.truth.Truth.assertThat;

/**
 * Tests for {@link ResponseDecoder}.
 */
class ResponseDecoderTests {

	// Guards against response heads of very many short lines that fill the heap.
	@Test
	void keepsAHeadInAtMostTwiceItsBytes() {
		EmbeddedChannel channel = new EmbeddedChannel(new ResponseDecoder());
		String head = "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n" + "a:\r\n".repeat(7_500) + "\r\n";
		channel.writeInbound(Unpooled.copiedBuffer(head, StandardCharsets.ISO_8859_1));
		HttpResponse response = channel.readInbound();
		assertThat(response.headers().size()).isEqualTo(7_501);
		assertThat(((CompactHeaders) response.headers()).heldBytes()).isAtMost(2 * head.length());
		channel.finishAndReleaseAll();
	}

}
