package io.bulrushrouter.evacuation;

import java.time.Duration;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionStage;
import java.util.function.BiFunction;
import java.util.function.BiPredicate;

import io.bulrushrouter.kernel.store.ObjectKey;
import io.bulrushrouter.kernel.store.ObjectStore;
import io.bulrushrouter.kernel.store.ReadResult;
import io.bulrushrouter.kernel.store.VersionedObject;
import io.bulrushrouter.kernel.store.Write;
import io.bulrushrouter.kernel.store.WriteId;
import io.bulrushrouter.kernel.store.WriteResult;

/**
 * A JSON object in the store that is changed by conditional updates only. When the
 * response to a write is lost, the object is read back: the write took effect if the
 * object or its history contains the write's identifier. An object that still has the
 * expected version is written again, which is safe because the condition lets the write
 * take effect at most once.
 *
 * @param <T> the object's type
 */
final class ConditionalObject<T> {

	/** Maximum number of times a write is sent if its responses are lost. */
	private static final int MAX_WRITE_ATTEMPTS = 3;

	private final ObjectStore store;

	private final ObjectKey key;

	private final Class<T> type;

	private final BiPredicate<T, String> containsWrite;

	private final BiFunction<T, T, List<String>> difference;

	ConditionalObject(ObjectStore store, ObjectKey key, Class<T> type, BiPredicate<T, String> containsWrite,
			BiFunction<T, T, List<String>> difference) {
		this.store = store;
		this.key = key;
		this.type = type;
		this.containsWrite = containsWrite;
		this.difference = difference;
	}

	CompletionStage<ReadOutcome<T>> read() {
		return this.store.read(this.key).thenApply((result) -> {
			if (result instanceof ReadResult.Found found) {
				return new ReadOutcome.Found<>(decode(found.object()));
			}
			if (result instanceof ReadResult.Unavailable unavailable) {
				return new ReadOutcome.Unavailable<>(unavailable.reason());
			}
			return new ReadOutcome.Absent<>();
		});
	}

	// The store returns the content only if the version has changed.
	CompletionStage<ReadOutcome<T>> refresh(VersionedValue<T> known) {
		if (known.version() == Write.ABSENT) {
			return read();
		}
		return this.store.watch(this.key, known.version(), Duration.ZERO).thenApply((result) -> {
			if (result instanceof ReadResult.Found found) {
				return new ReadOutcome.Found<>(decode(found.object()));
			}
			if (result instanceof ReadResult.Unavailable unavailable) {
				return new ReadOutcome.Unavailable<>(unavailable.reason());
			}
			return new ReadOutcome.Found<>(known);
		});
	}

	CompletionStage<WriteOutcome<T>> write(VersionedValue<T> base, T value, String writeId) {
		Write write = new Write(this.key, base.version(), EvacuationJson.write(value), new WriteId(writeId));
		return send(new Attempt<>(write, base.value(), value), 1);
	}

	private CompletionStage<WriteOutcome<T>> send(Attempt<T> attempt, int number) {
		return this.store.write(attempt.write()).thenCompose((result) -> {
			if (result instanceof WriteResult.Written written) {
				return completed(new WriteOutcome.Written<>(new VersionedValue<>(written.version(), attempt.value())));
			}
			if (result instanceof WriteResult.Refused refused && number == 1) {
				return completed(new WriteOutcome.Unavailable<>(refused.reason()));
			}
			return resolveLostResponse(attempt, number);
		});
	}

	private CompletionStage<WriteOutcome<T>> resolveLostResponse(Attempt<T> attempt, int number) {
		return this.store.read(this.key).thenCompose((result) -> {
			if (result instanceof ReadResult.Unavailable unavailable) {
				return completed(new WriteOutcome.Unknown<>(unavailable.reason()));
			}
			if (result instanceof ReadResult.Found found && found.object().version() != attempt.expectedVersion()) {
				return completed(resolveChangedObject(attempt, found.object()));
			}
			return (number < MAX_WRITE_ATTEMPTS) ? send(attempt, number + 1)
					: completed(new WriteOutcome.Unknown<>("no response to " + number + " write attempts"));
		});
	}

	private WriteOutcome<T> resolveChangedObject(Attempt<T> attempt, VersionedObject object) {
		VersionedValue<T> current = decode(object);
		boolean tookEffect = object.writeId().equals(attempt.write().writeId())
				|| this.containsWrite.test(current.value(), attempt.write().writeId().value());
		return tookEffect ? new WriteOutcome.Written<>(current)
				: new WriteOutcome.Conflict<>(current, difference(attempt, current.value()));
	}

	// Compares the current value with the value that the writer read or, if these are
	// equal, with the value that the writer proposed.
	private List<String> difference(Attempt<T> attempt, T current) {
		T from = attempt.base().equals(current) ? attempt.value() : attempt.base();
		return this.difference.apply(from, current);
	}

	private VersionedValue<T> decode(VersionedObject object) {
		return new VersionedValue<>(object.version(), EvacuationJson.read(object.value(), this.type));
	}

	private static <T> CompletionStage<WriteOutcome<T>> completed(WriteOutcome<T> outcome) {
		return CompletableFuture.completedFuture(outcome);
	}

	/**
	 * A conditional write with the values before and after it.
	 *
	 * @param write the write
	 * @param base the value that the writer read
	 * @param value the value that the writer proposes
	 * @param <T> the object's type
	 */
	private record Attempt<T>(Write write, T base, T value) {

		long expectedVersion() {
			return this.write.expectedVersion();
		}

	}

}
