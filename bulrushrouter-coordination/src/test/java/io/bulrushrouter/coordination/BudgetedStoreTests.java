package io.bulrushrouter.coordination;

import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Random;
import java.util.concurrent.CompletionStage;
import java.util.stream.IntStream;

import org.junit.jupiter.api.Test;

import io.bulrushrouter.kernel.store.ObjectKey;
import io.bulrushrouter.kernel.store.ReadResult;
import io.bulrushrouter.kernel.store.Write;
import io.bulrushrouter.kernel.store.WriteResult;
import io.bulrushrouter.kernel.store.WriterMark;
import io.bulrushrouter.standin.MemoryObjectStore;

import static com.google.common.truth.Truth.assertThat;

/**
 * Tests for {@link BudgetedStore}.
 */
class BudgetedStoreTests {

	private static final ObjectKey KEY = ObjectKey.of("plan", "a");

	private final MemoryObjectStore memory = new MemoryObjectStore();

	private final ManualClock clock = new ManualClock();

	private BudgetedStore store(CallBudget budget, int seed) {
		return BudgetedStore.builder(this.memory).budget(budget).time(this.clock).random(new Random(seed)).build();
	}

	private static <T> T join(CompletionStage<T> stage) {
		return stage.toCompletableFuture().join();
	}

	@Test
	void keepsCallsWithinTheBudget() {
		BudgetedStore store = store(new CallBudget(2, 1, 3), 1);
		for (int step = 0; step < 1000; step++) {
			join(store.read(KEY));
			join(store.write(Write.ofCreate(KEY, new byte[0], new WriterMark("a"))));
			this.clock.advance(Duration.ofMillis(100));
		}
		assertThat(this.memory.reads()).isAtMost(2 * 100 + 3);
		assertThat(this.memory.reads()).isAtLeast(2 * 100 - 3);
		assertThat(this.memory.writes()).isAtMost(100 + 3);
		assertThat(store.counts().overBudget()).isEqualTo(2000 - store.counts().sent());
	}

	@Test
	void reportsUnsentCallsAsRefusedOrUnavailable() {
		BudgetedStore store = store(new CallBudget(1, 1, 1), 1);
		byte[] huge = new byte[1_000_001];
		assertThat(join(store.write(Write.ofCreate(KEY, huge, new WriterMark("a")))))
			.isInstanceOf(WriteResult.Refused.class);
		assertThat(this.memory.writes()).isEqualTo(0);
		this.memory.down(true);
		join(store.read(KEY));
		this.memory.down(false);
		assertThat(join(store.write(Write.ofCreate(KEY, new byte[0], new WriterMark("a")))))
			.isInstanceOf(WriteResult.Refused.class);
		assertThat(join(store.read(KEY))).isInstanceOf(ReadResult.Unavailable.class);
		assertThat(store.counts().backedOff()).isEqualTo(2);
	}

	@Test
	void limitsCallsAfterAnOutage() {
		CallBudget budget = new CallBudget(1, 0, 10);
		List<BudgetedStore> stores = new ArrayList<>();
		IntStream.range(0, 400).forEach((seed) -> stores.add(store(budget, seed)));
		long[] perSecond = new long[120];
		this.memory.down(true);
		for (int tick = 0; tick < 1200; tick++) {
			if (tick == 600) {
				this.memory.down(false);
			}
			long before = this.memory.reads();
			stores.forEach((store) -> join(store.read(KEY)));
			perSecond[tick / 10] += this.memory.reads() - before;
			this.clock.advance(Duration.ofMillis(100));
		}
		for (int second = 60; second < 120; second++) {
			assertThat(perSecond[second]).isAtMost(440);
		}
		assertThat(perSecond[59]).isAtMost(100);
		assertThat(perSecond[119]).isAtLeast(390);
	}

}
