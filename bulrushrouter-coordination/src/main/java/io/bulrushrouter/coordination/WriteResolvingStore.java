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
 * An object store that resolves writes of unknown outcome by reading the object and
 * comparing its write identifier. A write that has not taken effect yet is retried
 * unchanged; its version condition allows at most one of the attempts to take effect.
 *
 * <p>
 * The outcome stays {@link WriteResult.Unknown} if the store does not answer within the
 * maximum number of attempts, or if another writer has replaced the object in the
 * meantime; in that case only the content can show whether the write took effect. Each
 * write must have a unique identifier.
 */
public final class WriteResolvingStore implements ObjectStore {

	private final ObjectStore store;

	private final int maxAttempts;

	private final ExponentialBackoff backoff;

	private final Delay delay;

	private final RandomGenerator random;

	private WriteResolvingStore(ObjectStore store, int maxAttempts, ExponentialBackoff backoff, Delay delay,
			RandomGenerator random) {
		this.store = store;
		this.maxAttempts = maxAttempts;
		this.backoff = backoff;
		this.delay = delay;
		this.random = random;
	}

	/**
	 * Creates a store that resolves the writes of another store.
	 * @param store the store to delegate to
	 * @param maxAttempts the maximum number of attempts to resolve a write
	 * @param backoff the backoff between attempts
	 * @param delay schedules the delays between attempts
	 * @param random the source of the jitter
	 * @return the store
	 */
	public static WriteResolvingStore of(ObjectStore store, int maxAttempts, ExponentialBackoff backoff, Delay delay,
			RandomGenerator random) {
		return new WriteResolvingStore(store, maxAttempts, backoff, delay, random);
	}

	@Override
	public CompletionStage<WriteResult> write(Write write) {
		return this.store.write(write)
			.thenCompose((result) -> (result instanceof WriteResult.Unknown unknown) ? resolve(write, unknown, 0)
					: CompletableFuture.completedFuture(result));
	}

	private CompletionStage<WriteResult> resolve(Write write, WriteResult.Unknown unknown, int attempts) {
		if (attempts == this.maxAttempts) {
			return CompletableFuture.completedFuture(unknown);
		}
		return this.delay.after(Duration.ofNanos(this.backoff.delayNanos(attempts, this.random)))
			.thenCompose((nothing) -> this.store.read(write.key()))
			.thenCompose((current) -> resolveFrom(write, unknown, attempts, current));
	}

	private CompletionStage<WriteResult> resolveFrom(Write write, WriteResult.Unknown unknown, int attempts,
			ReadResult current) {
		if (current instanceof ReadResult.Unavailable) {
			return resolve(write, unknown, attempts + 1);
		}
		if (current instanceof ReadResult.Found found && found.object().writeId().equals(write.writeId())) {
			return CompletableFuture.completedFuture(new WriteResult.Written(found.object().version()));
		}
		if (versionOf(current) != write.expectedVersion()) {
			return CompletableFuture
				.completedFuture(new WriteResult.Unknown("the object was replaced by another writer"));
		}
		return this.store.write(write)
			.thenCompose((result) -> (result instanceof WriteResult.Written) ? CompletableFuture.completedFuture(result)
					: resolve(write, unknown, attempts + 1));
	}

	private static long versionOf(ReadResult current) {
		return (current instanceof ReadResult.Found found) ? found.object().version() : Write.ABSENT;
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
