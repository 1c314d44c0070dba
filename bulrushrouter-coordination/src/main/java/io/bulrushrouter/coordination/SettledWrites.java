package io.bulrushrouter.coordination;

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

/**
 * An object store that settles writes whose answer was lost, by reading the writer's
 * mark. Where the write has had no effect yet it is sent again as it was: its condition
 * lets at most one of the copies take effect.
 *
 * <p>
 * A write stays {@link WriteResult.Unknown} if the store does not answer in the given
 * tries, or if another writer has replaced the object since: then only the content can
 * tell. Marks must be unique to a write.
 */
public final class SettledWrites implements ObjectStore {

	private final ObjectStore store;

	private final int tries;

	private final BackOff backOff;

	private final Delay delay;

	private final RandomGenerator random;

	private SettledWrites(ObjectStore store, int tries, BackOff backOff, Delay delay, RandomGenerator random) {
		this.store = store;
		this.tries = tries;
		this.backOff = backOff;
		this.delay = delay;
		this.random = random;
	}

	/**
	 * Returns a store that settles the writes of another.
	 * @param store the store to ask
	 * @param tries how many times to try to settle a write
	 * @param backOff the pauses between the tries
	 * @param delay lets the pauses pass
	 * @param random the source of the jitter
	 * @return the store
	 */
	public static SettledWrites of(ObjectStore store, int tries, BackOff backOff, Delay delay, RandomGenerator random) {
		return new SettledWrites(store, tries, backOff, delay, random);
	}

	@Override
	public CompletionStage<WriteResult> write(Write write) {
		return this.store.write(write)
			.thenCompose((result) -> (result instanceof WriteResult.Unknown unknown) ? settle(write, unknown, 0)
					: CompletableFuture.completedFuture(result));
	}

	private CompletionStage<WriteResult> settle(Write write, WriteResult.Unknown unknown, int tried) {
		if (tried == this.tries) {
			return CompletableFuture.completedFuture(unknown);
		}
		return this.delay.after(Duration.ofNanos(this.backOff.pauseNanos(tried, this.random)))
			.thenCompose((nothing) -> this.store.read(write.key()))
			.thenCompose((seen) -> judge(write, unknown, tried, seen));
	}

	private CompletionStage<WriteResult> judge(Write write, WriteResult.Unknown unknown, int tried, ReadResult seen) {
		if (seen instanceof ReadResult.Unavailable) {
			return settle(write, unknown, tried + 1);
		}
		if (seen instanceof ReadResult.Found found && found.object().writeId().equals(write.writeId())) {
			return CompletableFuture.completedFuture(new WriteResult.Written(found.object().version()));
		}
		if (versionOf(seen) != write.expectedVersion()) {
			return CompletableFuture.completedFuture(new WriteResult.Unknown("replaced by another writer"));
		}
		return this.store.write(write)
			.thenCompose((result) -> (result instanceof WriteResult.Written) ? CompletableFuture.completedFuture(result)
					: settle(write, unknown, tried + 1));
	}

	private static long versionOf(ReadResult seen) {
		return (seen instanceof ReadResult.Found found) ? found.object().version() : Write.ABSENT;
	}

	@Override
	public CompletionStage<ReadResult> read(ObjectKey key) {
		return this.store.read(key);
	}

	@Override
	public CompletionStage<ReadResult> watch(ObjectKey key, long afterVersion, Duration wait) {
		return this.store.watch(key, afterVersion, wait);
	}

	@Override
	public CompletionStage<ListResult> list(String prefix) {
		return this.store.list(prefix);
	}

}
