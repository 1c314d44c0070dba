package io.bulrushrouter.gateway.stream;

import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;

import io.netty.buffer.Unpooled;
import org.junit.jupiter.api.Assertions;
import org.junit.jupiter.api.Test;

import static com.google.common.truth.Truth.assertThat;

/**
 * Splitting a stream into complete events.
 */
class EventSplitterTests {

	private static final String STREAM = "id: 1\ndata: a\n\nid: 2\r\ndata: b\r\n\r\ndata: no id\n\nid: 30\ndata: c\n\n";

	@Test
	void findsTheSameEventsWhateverTheChunkSize() {
		for (int size = 1; size <= STREAM.length(); size++) {
			EventSplitter splitter = new EventSplitter();
			List<String> ids = new ArrayList<>();
			StringBuilder text = new StringBuilder();
			for (int from = 0; from < STREAM.length(); from += size) {
				byte[] bytes = STREAM.substring(from, Math.min(STREAM.length(), from + size))
					.getBytes(StandardCharsets.UTF_8);
				splitter.split(Unpooled.wrappedBuffer(bytes)).forEach((event) -> {
					ids.add(event.id().orElse("-"));
					text.append(event.bytes().toString(StandardCharsets.UTF_8));
				});
			}
			assertThat(ids).containsExactly("1", "2", "-", "30").inOrder();
			assertThat(text.toString()).isEqualTo(STREAM);
			assertThat(splitter.remainder().isReadable()).isFalse();
		}
	}

	@Test
	void holdsAnEventUntilItIsComplete() {
		EventSplitter splitter = new EventSplitter();
		assertThat(splitter.split(Unpooled.copiedBuffer("id: 1\ndata: half\n", StandardCharsets.UTF_8))).isEmpty();
		assertThat(splitter.remainder().toString(StandardCharsets.UTF_8)).isEqualTo("id: 1\ndata: half\n");
	}

	@Test
	void countsNoLineEndsBetweenEventsAsUnfinished() {
		EventSplitter splitter = new EventSplitter();
		assertThat(splitter.split(Unpooled.copiedBuffer("data: a\n\n\r\n\n", StandardCharsets.UTF_8))).isNotEmpty();
		assertThat(splitter.unfinishedBytes()).isEqualTo(0);
		splitter.split(Unpooled.copiedBuffer("data", StandardCharsets.UTF_8));
		assertThat(splitter.unfinishedBytes()).isEqualTo(4);
	}

	@Test
	void rejectsAnEventOverTheSizeLimit() {
		EventSplitter splitter = new EventSplitter();
		byte[] endless = new byte[300_000];
		Assertions.assertThrows(IllegalStateException.class, () -> splitter.split(Unpooled.wrappedBuffer(endless)));
	}

}
