package io.bulrushrouter.coordination;

import java.util.Random;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionStage;

import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

import io.bulrushrouter.kernel.store.ObjectKey;
import io.bulrushrouter.kernel.store.ReadResult;
import io.bulrushrouter.kernel.store.VersionedObject;
import io.bulrushrouter.kernel.store.Write;
import io.bulrushrouter.kernel.store.WriteId;
import io.bulrushrouter.kernel.store.WriteResult;
import io.bulrushrouter.standin.MemoryObjectStore;

import static com.google.common.truth.Truth.assertThat;

/**
 * Tests for {@link WriteResolvingStore}.
 */
class WriteResolvingStoreTests {

	private static final ObjectKey KEY = ObjectKey.of("plan", "a");

	private static final int MAX_ATTEMPTS = 4;

	private final MemoryObjectStore memory = new MemoryObjectStore();

	private final WriteResolvingStore store = WriteResolvingStore.of(this.memory, MAX_ATTEMPTS,
			ExponentialBackoff.PLATFORM, (delay) -> CompletableFuture.completedFuture(null), new Random(1));

	private int lost;

	private static <T> T join(CompletionStage<T> stage) {
		return stage.toCompletableFuture().join();
	}

	private VersionedObject found() {
		return ((ReadResult.Found) join(this.memory.read(KEY))).object();
	}

	@ParameterizedTest
	@CsvSource({ "false, false, 0", "false, true, 0", "true, false, 0", "true, true, 0", "true, false, 2",
			"true, true, 2", "false, true, 2" })
	void resolvesALostWriteExactlyOnce(boolean update, boolean afterEffect, int losses) {
		if (update) {
			join(this.memory.write(Write.ofCreate(KEY, new byte[] { 1 }, new WriteId("earlier"))));
		}
		long before = update ? found().version() : Write.ABSENT;
		if (afterEffect) {
			this.memory.loseAnswers((write) -> this.lost++ <= losses);
		}
		else {
			this.memory.loseRequests((write) -> this.lost++ <= losses);
		}
		WriteResult result = join(this.store.write(new Write(KEY, before, new byte[] { 2 }, new WriteId("mine"))));
		assertThat(result).isEqualTo(new WriteResult.Written(before + 1));
		assertThat(found().version()).isEqualTo(before + 1);
		assertThat(found().writeId()).isEqualTo(new WriteId("mine"));
	}

	@Test
	void staysUnknownIfAnotherWriterReplacedIt() {
		this.memory.loseRequests((write) -> {
			if (this.lost++ == 0) {
				join(this.memory.write(Write.ofCreate(KEY, new byte[] { 3 }, new WriteId("other"))));
				return true;
			}
			return false;
		});
		WriteResult result = join(this.store.write(Write.ofCreate(KEY, new byte[] { 2 }, new WriteId("mine"))));
		assertThat(result).isInstanceOf(WriteResult.Unknown.class);
		assertThat(found().writeId()).isEqualTo(new WriteId("other"));
		assertThat(this.memory.writes()).isEqualTo(2);
	}

	@Test
	void staysUnknownIfTheStoreNeverAnswers() {
		this.memory.loseRequests((write) -> true);
		WriteResult result = join(this.store.write(Write.ofCreate(KEY, new byte[] { 2 }, new WriteId("mine"))));
		assertThat(result).isInstanceOf(WriteResult.Unknown.class);
		assertThat(this.memory.writes()).isEqualTo(1 + MAX_ATTEMPTS);
	}

}
