package io.bulrushrouter.gateway.forward;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.List;

import org.junit.jupiter.api.Test;

import static com.google.common.truth.Truth.assertThat;

/**
 * Tests for {@link ReadTurns}.
 */
class ReadTurnsTests {

	private final Deque<Runnable> scheduled = new ArrayDeque<>();

	private final List<String> read = new ArrayList<>();

	private final ReadTurns turns = new ReadTurns(this.scheduled::add);

	private void runOnce() {
		this.scheduled.remove().run();
	}

	@Test
	void letOneConnectionAfterTheOtherBeRead() {
		for (String name : List.of("a", "b", "c")) {
			this.turns.await(() -> this.read.add(name));
		}
		assertThat(this.read).isEmpty();
		runOnce();
		assertThat(this.read).containsExactly("a");
		this.turns.await(() -> this.read.add("a"));
		runOnce();
		runOnce();
		runOnce();
		assertThat(this.read).containsExactly("a", "b", "c", "a").inOrder();
		assertThat(this.scheduled).isEmpty();
		assertThat(this.turns.size()).isEqualTo(0);
	}

	// Guards against clients whose reads keep all other callers waiting.
	@Test
	void stopReadingAConnectionThatSendsManyLinesUntilItsTurn() {
		PipeliningCaller caller = new PipeliningCaller();
		caller.send("GET /1 HTTP/1.1\r\nHost: h\r\n" + "a:\r\n".repeat(500) + "\r\n");
		caller.read(200);
		assertThat(caller.reading()).isTrue();
		caller.read(1_000);
		assertThat(caller.reading()).isFalse();
		assertThat(caller.gateway().waitingReads()).isEqualTo(1);
		caller.runTasks();
		assertThat(caller.reading()).isTrue();
		assertThat(caller.gateway().waitingReads()).isEqualTo(0);
	}

}
