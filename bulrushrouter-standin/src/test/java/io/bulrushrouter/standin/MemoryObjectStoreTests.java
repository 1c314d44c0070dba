package io.bulrushrouter.standin;

import java.nio.charset.StandardCharsets;
import java.time.Duration;

import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;

import io.bulrushrouter.kernel.store.ObjectKey;
import io.bulrushrouter.kernel.store.ReadResult;
import io.bulrushrouter.kernel.store.VersionedObject;
import io.bulrushrouter.kernel.store.Write;
import io.bulrushrouter.kernel.store.WriteId;
import io.bulrushrouter.kernel.store.WriteResult;

import static com.google.common.truth.Truth.assertThat;

/**
 * Tests for {@link MemoryObjectStore}.
 */
class MemoryObjectStoreTests {

	private static final ObjectKey KEY = ObjectKey.of("plan", "a");

	private final MemoryObjectStore store = new MemoryObjectStore();

	private WriteResult create(String value) {
		Write write = Write.ofCreate(KEY, value.getBytes(StandardCharsets.UTF_8), new WriteId(value));
		return this.store.write(write).toCompletableFuture().join();
	}

	private ReadResult read() {
		return this.store.read(KEY).toCompletableFuture().join();
	}

	@Nested
	class WriteMethod {

		@Test
		void createsOnlyOnce() {
			assertThat(create("first")).isInstanceOf(WriteResult.Written.class);
			assertThat(create("second")).isInstanceOf(WriteResult.Conflict.class);
			VersionedObject object = ((ReadResult.Found) read()).object();
			assertThat(object.writeId()).isEqualTo(new WriteId("first"));
		}

		@Test
		void takesEffectThoughItsAnswerIsLost() {
			MemoryObjectStoreTests.this.store.loseAnswers((write) -> true);
			assertThat(create("first")).isInstanceOf(WriteResult.Unknown.class);
			assertThat(read()).isInstanceOf(ReadResult.Found.class);
		}

		@Test
		void hasNoEffectDuringAnOutage() {
			MemoryObjectStoreTests.this.store.down(true);
			assertThat(create("first")).isInstanceOf(WriteResult.Refused.class);
			MemoryObjectStoreTests.this.store.down(false);
			assertThat(read()).isInstanceOf(ReadResult.Absent.class);
		}

	}

	@Nested
	class WatchMethod {

		@Test
		void completesAtTheNextWrite() {
			var answer = MemoryObjectStoreTests.this.store.watch(KEY, 0, Duration.ofSeconds(1)).toCompletableFuture();
			assertThat(answer.isDone()).isFalse();
			create("first");
			assertThat(answer.join()).isInstanceOf(ReadResult.Found.class);
		}

	}

}
