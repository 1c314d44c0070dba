package io.bulrushrouter.http;

import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.Map;
import java.util.Random;

import io.netty.buffer.Unpooled;
import io.netty.channel.embedded.EmbeddedChannel;
import io.netty.handler.codec.http.DefaultHttpHeaders;
import io.netty.handler.codec.http.HttpDecoderConfig;
import io.netty.handler.codec.http.HttpHeaders;
import io.netty.handler.codec.http.HttpRequest;
import io.netty.handler.codec.http.HttpRequestDecoder;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

import static com.google.common.truth.Truth.assertThat;
import static org.junit.jupiter.api.Assertions.assertThrows;

/**
 * Tests for {@link CompactHeaders}.
 */
class CompactHeadersTests {

	private static final List<String> NAMES = List.of("a", "A", "Host", "HOST", "content-length", "x".repeat(200));

	private static final int STEPS = 20_000;

	private static List<Map.Entry<String, String>> fields(HttpHeaders headers) {
		return headers.entries().stream().map((entry) -> Map.entry(entry.getKey(), entry.getValue())).toList();
	}

	@Test
	void behaveLikeTheHeadersOfTheLibrary() {
		Random random = new Random(62);
		HttpHeaders expected = new DefaultHttpHeaders();
		HttpHeaders actual = new CompactHeaders();
		for (int step = 0; step < STEPS; step++) {
			String name = NAMES.get(random.nextInt(NAMES.size()));
			String value = "\u00e9".repeat(random.nextInt(4)) + "v".repeat(random.nextInt(300));
			switch (random.nextInt(5)) {
				case 0, 1, 2 -> {
					expected.add(name, value);
					actual.add(name, value);
				}
				case 3 -> {
					expected.set(name, value);
					actual.set(name, value);
				}
				default -> {
					expected.remove(name);
					actual.remove(name);
				}
			}
			assertThat(actual.get(name)).isEqualTo(expected.get(name));
			assertThat(actual.getAll(name)).isEqualTo(expected.getAll(name));
			assertThat(actual.contains(name)).isEqualTo(expected.contains(name));
			assertThat(actual.size()).isEqualTo(expected.size());
		}
		assertThat(fields(actual)).isEqualTo(fields(expected));
		assertThat(fields(actual.copy())).isEqualTo(fields(expected));
	}

	// Guards against a head whose lines are few bytes and take 40 times that.
	@ParameterizedTest
	@ValueSource(strings = { "a:\r\n", "a: b\r\n", "abc:\r\n" })
	void takeNoMoreMemoryThanTwiceTheBytesOnTheWire(String line) {
		EmbeddedChannel channel = new EmbeddedChannel(new HttpRequestDecoder(
				new HttpDecoderConfig().setMaxHeaderSize(16_384).setHeadersFactory(CompactHeaders.FACTORY)));
		String head = "GET / HTTP/1.1\r\n" + line.repeat(15_500 / line.length()) + "\r\n";
		channel.writeInbound(Unpooled.copiedBuffer(head, StandardCharsets.ISO_8859_1));
		HttpRequest request = channel.readInbound();
		assertThat(request.headers().size()).isEqualTo(15_500 / line.length());
		assertThat(((CompactHeaders) request.headers()).heldBytes()).isAtMost(2 * head.length());
		channel.finishAndReleaseAll();
	}

	@ParameterizedTest
	@ValueSource(strings = { "a\r\nb: c", "a\nb", "\u0000", "\u007f" })
	void takeNoControlCharacters(String value) {
		assertThrows(IllegalArgumentException.class, () -> new CompactHeaders().add("a", value));
	}

	@Test
	void replaceCharactersThatTheWireDoesNotHave() {
		assertThat(new CompactHeaders().add("a", "\u20ac").get("a")).isEqualTo("?");
	}

}
