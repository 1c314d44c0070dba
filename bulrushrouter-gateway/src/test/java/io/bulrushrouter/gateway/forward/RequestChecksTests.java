package io.bulrushrouter.gateway.forward;

import java.lang.management.ManagementFactory;
import java.util.List;
import java.util.Map;
import java.util.stream.IntStream;

import com.sun.management.ThreadMXBean;
import io.netty.handler.codec.http.HttpHeaders;
import org.junit.jupiter.api.Test;

import io.bulrushrouter.http.CompactHeaders;

import static com.google.common.truth.Truth.assertThat;

/**
 * Tests for {@link RequestChecks}.
 */
class RequestChecksTests {

	private static long allocatedBytes() {
		return ((ThreadMXBean) ManagementFactory.getThreadMXBean()).getCurrentThreadAllocatedBytes();
	}

	@Test
	void copiesNoHeadersThatApplyToTheConnection() {
		HttpHeaders from = new CompactHeaders().add("Connection", "close, X-One")
			.add("connection", " x-two ,,")
			.add("X-ONE", "1")
			.add("x-two", "2")
			.add("Keep-Alive", "timeout=1")
			.add("X-Three", "3")
			.add("x-three", "4");
		HttpHeaders to = new CompactHeaders();
		RequestChecks.copyEndToEnd(from, to);
		assertThat(to.entries()).containsExactly(Map.entry("X-Three", "3"), Map.entry("x-three", "4")).inOrder();
	}

	// Guards against one head that keeps all other callers waiting: the work of the copy
	// grew with the square of the number of fields, and so did what it allocated.
	@Test
	void copiesAHeadWhoseConnectionFieldNamesAllOthersInLinearWork() {
		List<String> names = IntStream.range(0, 1_300).mapToObj((index) -> "n" + index).toList();
		HttpHeaders from = new CompactHeaders().add("Connection", String.join(",", names));
		names.forEach((name) -> from.add(name, ""));
		HttpHeaders to = new CompactHeaders();
		RequestChecks.copyEndToEnd(from, to);
		long before = allocatedBytes();
		RequestChecks.copyEndToEnd(from, to);
		assertThat(allocatedBytes() - before).isLessThan(1_000L * names.size());
		assertThat(to.isEmpty()).isTrue();
	}

}
