package io.bulrushrouter.request;

import java.time.Duration;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionStage;
import java.util.random.RandomGenerator;

import io.bulrushrouter.kernel.store.ListResult;
import io.bulrushrouter.kernel.store.ObjectKey;
import io.bulrushrouter.kernel.store.ObjectStore;
import io.bulrushrouter.kernel.store.ReadResult;
import io.bulrushrouter.kernel.store.Write;
import io.bulrushrouter.kernel.store.WriteResult;
import io.bulrushrouter.standin.MemoryObjectStore;

/**
 * An object API that delays calls and randomly loses requests and answers.
 */
final class UnreliableStore implements ObjectStore {

	private static final int MAX_DELAY_MILLIS = 20;

	private final MemoryObjectStore objects = new MemoryObjectStore();

	private final SimulatedClock clock;

	private final RandomGenerator random;

	private final double faultProbability;

	UnreliableStore(SimulatedClock clock, RandomGenerator random, double faults) {
		this.clock = clock;
		this.random = random;
		this.faultProbability = faults;
	}

	@Override
	public CompletionStage<ReadResult> read(ObjectKey key) {
		CompletableFuture<ReadResult> answer = new CompletableFuture<>();
		boolean lost = isLost();
		this.clock.after(delay(), () -> {
			ReadResult result = lost ? new ReadResult.Unavailable("lost")
					: this.objects.read(key).toCompletableFuture().join();
			this.clock.after(delay(), () -> answer.complete(result));
		});
		return answer;
	}

	@Override
	public CompletionStage<WriteResult> write(Write write) {
		CompletableFuture<WriteResult> answer = new CompletableFuture<>();
		boolean requestLost = isLost();
		boolean answerLost = isLost();
		int lateBy = isLost() ? 10 * MAX_DELAY_MILLIS : 0;
		this.clock.after(delay() + lateBy, () -> {
			if (!requestLost) {
				WriteResult result = this.objects.write(write).toCompletableFuture().join();
				this.clock.after(delay(), () -> answer.complete(answerLost ? new WriteResult.Unknown("lost") : result));
			}
		});
		this.clock.after(4 * MAX_DELAY_MILLIS, () -> answer.complete(new WriteResult.Unknown("time out")));
		return answer;
	}

	@Override
	public CompletionStage<ReadResult> watch(ObjectKey key, long afterVersion, Duration wait) {
		return this.objects.watch(key, afterVersion, wait);
	}

	@Override
	public CompletionStage<ListResult> list(String prefix) {
		return this.objects.list(prefix);
	}

	private boolean isLost() {
		return this.random.nextDouble() < this.faultProbability;
	}

	private int delay() {
		return 1 + this.random.nextInt(MAX_DELAY_MILLIS);
	}

}
