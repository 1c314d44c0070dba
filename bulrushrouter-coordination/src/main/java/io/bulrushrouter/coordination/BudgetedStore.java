package io.bulrushrouter.coordination;

import java.time.Duration;
import java.util.Objects;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionStage;
import java.util.function.Function;
import java.util.function.Supplier;
import java.util.function.UnaryOperator;
import java.util.random.RandomGenerator;

import io.bulrushrouter.kernel.TimeSource;
import io.bulrushrouter.kernel.store.ListResult;
import io.bulrushrouter.kernel.store.ObjectKey;
import io.bulrushrouter.kernel.store.ObjectStore;
import io.bulrushrouter.kernel.store.ReadResult;
import io.bulrushrouter.kernel.store.Write;
import io.bulrushrouter.kernel.store.WriteResult;

/**
 * An object store that counts its calls and keeps them within a role's budget. A call
 * that exceeds the budget, or falls within the backoff after a failure, is not sent; it
 * completes immediately as unavailable or refused.
 *
 * <pre>{@code
 * BudgetedStore store = BudgetedStore.builder(http).budget(CallBudget.ENTRY).build();
 * }</pre>
 */
public final class BudgetedStore implements ObjectStore {

	private static final int MAX_VALUE_BYTES = 1_000_000;

	private final ObjectStore store;

	private final TimeSource time;

	private final RandomGenerator random;

	private final CallLimiter limiter;

	private CallCounts counts = CallCounts.NONE;

	private BudgetedStore(Builder builder) {
		this.store = builder.store;
		this.time = builder.time;
		this.random = builder.random;
		this.limiter = new CallLimiter(builder.budget, builder.backoff, builder.time.nanos());
	}

	/**
	 * Returns a builder.
	 * @param store the store to delegate to
	 * @return the builder
	 */
	public static Builder builder(ObjectStore store) {
		return new Builder(store);
	}

	/**
	 * Returns the numbers of calls since the start, for metrics.
	 * @return the counts
	 */
	public synchronized CallCounts counts() {
		return this.counts;
	}

	@Override
	public CompletionStage<ReadResult> read(ObjectKey key) {
		return call(CallKind.READ, CallCounts::withRead, () -> this.store.read(key), ReadResult.Unavailable::new,
				(result) -> !(result instanceof ReadResult.Unavailable));
	}

	@Override
	public CompletionStage<ReadResult> watch(ObjectKey key, long afterVersion, Duration wait) {
		return call(CallKind.WATCH, CallCounts::withWatch, () -> this.store.watch(key, afterVersion, wait),
				ReadResult.Unavailable::new, (result) -> !(result instanceof ReadResult.Unavailable));
	}

	@Override
	public CompletionStage<ListResult> list(String prefix) {
		return call(CallKind.READ, CallCounts::withRead, () -> this.store.list(prefix), ListResult.Unavailable::new,
				(result) -> !(result instanceof ListResult.Unavailable));
	}

	@Override
	public CompletionStage<WriteResult> write(Write write) {
		if (write.value().length > MAX_VALUE_BYTES) {
			return CompletableFuture
				.completedFuture(new WriteResult.Refused("value exceeds " + MAX_VALUE_BYTES + " bytes"));
		}
		return call(CallKind.WRITE, CallCounts::withWrite, () -> this.store.write(write), WriteResult.Refused::new,
				(result) -> result instanceof WriteResult.Written || result instanceof WriteResult.Conflict);
	}

	private <T> CompletionStage<T> call(CallKind kind, UnaryOperator<CallCounts> count,
			Supplier<CompletionStage<T>> send, Function<String, T> toRefusal, Function<T, Boolean> wasAnswered) {
		long sentNanos = this.time.nanos();
		CallLimiter.Admission admission = admit(kind, count, sentNanos);
		if (admission != CallLimiter.Admission.GRANTED) {
			return CompletableFuture.completedFuture(toRefusal.apply("not sent: " + admission));
		}
		return send.get().thenApply((result) -> {
			recordOutcome(wasAnswered.apply(result), sentNanos);
			return result;
		});
	}

	private synchronized CallLimiter.Admission admit(CallKind kind, UnaryOperator<CallCounts> count, long nowNanos) {
		CallLimiter.Admission admission = this.limiter.admit(kind, nowNanos);
		this.counts = (admission == CallLimiter.Admission.GRANTED) ? count.apply(this.counts)
				: this.counts.with(admission);
		return admission;
	}

	private synchronized void recordOutcome(boolean answered, long sentNanos) {
		if (answered) {
			this.limiter.callSucceeded(sentNanos, this.time.nanos());
		}
		else {
			this.counts = this.counts.withFailure();
			this.limiter.callFailed(sentNanos, this.time.nanos(), this.random);
		}
	}

	/**
	 * Builds a {@link BudgetedStore}.
	 */
	public static final class Builder {

		private final ObjectStore store;

		private CallBudget budget = CallBudget.ENTRY;

		private ExponentialBackoff backoff = ExponentialBackoff.PLATFORM;

		private TimeSource time = TimeSource.ofSystem();

		private RandomGenerator random = RandomGenerator.getDefault();

		private Builder(ObjectStore store) {
			this.store = Objects.requireNonNull(store);
		}

		/**
		 * Sets the role's budget.
		 * @param budget the budget
		 * @return this builder
		 */
		public Builder budget(CallBudget budget) {
			this.budget = budget;
			return this;
		}

		/**
		 * Sets the backoff after failures.
		 * @param backoff the backoff
		 * @return this builder
		 */
		public Builder backoff(ExponentialBackoff backoff) {
			this.backoff = backoff;
			return this;
		}

		/**
		 * Sets the clock.
		 * @param time the clock
		 * @return this builder
		 */
		public Builder time(TimeSource time) {
			this.time = time;
			return this;
		}

		/**
		 * Sets the source of the jitter.
		 * @param random the source of randomness
		 * @return this builder
		 */
		public Builder random(RandomGenerator random) {
			this.random = random;
			return this;
		}

		/**
		 * Creates the store.
		 * @return the store
		 */
		public BudgetedStore build() {
			return new BudgetedStore(this);
		}

	}

}
