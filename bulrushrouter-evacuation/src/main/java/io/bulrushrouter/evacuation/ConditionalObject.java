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
import io.bulrushrouter.kernel.store.Versioned;
import io.bulrushrouter.kernel.store.Write;
import io.bulrushrouter.kernel.store.WriteResult;
import io.bulrushrouter.kernel.store.WriterMark;

/**
 * One JSON object in the store that changes by conditional update only. A lost answer is
 * settled by reading: the object, or its history, holds the write's mark if the write
 * took effect; an object that is still of the expected version is written again, which
 * takes effect at most once.
 *
 * @param <T> the object's type
 */
final class ConditionalObject<T> {

	/** How often a write whose answer was lost is sent. */
	private static final int MAX_WRITE_ATTEMPTS = 3;

	private final ObjectStore store;

	private final ObjectKey key;

	private final Class<T> type;

	private final BiPredicate<T, String> containsWrite;

	private final BiFunction<T, T, List<String>> difference;

	ConditionalObject(ObjectStore store, ObjectKey key, Class<T> type, BiPredicate<T, String> holds,
			BiFunction<T, T, List<String>> difference) {
		this.store = store;
		this.key = key;
		this.type = type;
		this.containsWrite = holds;
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

	// Carries the content only if it has changed.
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

	CompletionStage<WriteOutcome<T>> write(VersionedValue<T> base, T value, String mark) {
		Write write = new Write(this.key, base.version(), EvacuationJson.write(value), new WriterMark(mark));
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
			return resolveLostAnswer(attempt, number);
		});
	}

	private CompletionStage<WriteOutcome<T>> resolveLostAnswer(Attempt<T> attempt, int number) {
		return this.store.read(this.key).thenCompose((result) -> {
			if (result instanceof ReadResult.Unavailable unavailable) {
				return completed(new WriteOutcome.Unknown<>(unavailable.reason()));
			}
			if (result instanceof ReadResult.Found found && found.object().version() != attempt.expectedVersion()) {
				return completed(outcomeOfChange(attempt, found.object()));
			}
			return (number < MAX_WRITE_ATTEMPTS) ? send(attempt, number + 1)
					: completed(new WriteOutcome.Unknown<>("no answer to " + number + " writes"));
		});
	}

	private WriteOutcome<T> outcomeOfChange(Attempt<T> attempt, Versioned object) {
		VersionedValue<T> current = decode(object);
		boolean tookEffect = object.writer().equals(attempt.write().writer())
				|| this.containsWrite.test(current.value(), attempt.write().writer().value());
		return tookEffect ? new WriteOutcome.Written<>(current)
				: new WriteOutcome.Conflict<>(current, difference(attempt, current.value()));
	}

	// From what the writer had seen, or else from what he wanted.
	private List<String> difference(Attempt<T> attempt, T current) {
		T from = attempt.base().equals(current) ? attempt.value() : attempt.base();
		return this.difference.apply(from, current);
	}

	private VersionedValue<T> decode(Versioned object) {
		return new VersionedValue<>(object.version(), EvacuationJson.read(object.value(), this.type));
	}

	private static <T> CompletionStage<WriteOutcome<T>> completed(WriteOutcome<T> outcome) {
		return CompletableFuture.completedFuture(outcome);
	}

	/**
	 * A write with what it was made from and of.
	 *
	 * @param write the write
	 * @param base the object as it was read
	 * @param value the object as it is to be
	 * @param <T> the object's type
	 */
	private record Attempt<T>(Write write, T base, T value) {

		long expectedVersion() {
			return this.write.expectedVersion();
		}

	}

}
