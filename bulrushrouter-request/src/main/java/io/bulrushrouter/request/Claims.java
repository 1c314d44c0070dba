package io.bulrushrouter.request;

import java.util.ArrayList;
import java.util.List;
import java.util.Objects;
import java.util.concurrent.Executor;
import java.util.function.Consumer;
import java.util.function.LongSupplier;

import io.bulrushrouter.kernel.TimeSource;
import io.bulrushrouter.kernel.store.ObjectStore;

/**
 * Ensures that non-idempotent requests run at most once: before a request runs, its
 * idempotency key is written to the platform, and the conditional write alone decides
 * which attempt may run. Claims of one shard are written in batches. Must be used from a
 * single thread, the one that the executor runs its tasks on.
 */
public final class Claims {

	private final ClaimsPolicy policy;

	private final List<ClaimShard> shards = new ArrayList<>();

	private Claims(Builder builder) {
		this.policy = builder.policy;
		for (int i = 0; i < builder.policy.shards(); i++) {
			this.shards.add(new ClaimShard(i, builder));
		}
	}

	/**
	 * Returns a builder.
	 * @param store the platform's object API
	 * @param incarnation the process's incarnation, which identifies its writes
	 * @return the builder
	 */
	public static Builder builder(ObjectStore store, long incarnation) {
		return new Builder(store, incarnation);
	}

	/**
	 * Claims a key.
	 * @param request the claim
	 * @param answer receives the outcome once: on the executor, or before this method
	 * returns if the shard backs off after a failure
	 */
	public void claim(ClaimRequest request, Consumer<ClaimOutcome> answer) {
		shardOf(request).claim(request, answer);
	}

	/**
	 * Releases a key whose request did not run. Has no effect if another attempt holds
	 * the key by now.
	 * @param request the claim as it was granted
	 */
	public void release(ClaimRequest request) {
		shardOf(request).release(request);
	}

	/**
	 * Starts the pending batches that are due.
	 */
	public void tick() {
		this.shards.forEach(ClaimShard::startBatch);
	}

	/**
	 * Returns when the next {@link #tick()} is due.
	 * @return the time in nanoseconds, or {@link Long#MAX_VALUE} if nothing is pending
	 */
	public long nextWakeNanos() {
		return this.shards.stream().mapToLong(ClaimShard::nextWakeNanos).min().orElse(Long.MAX_VALUE);
	}

	private ClaimShard shardOf(ClaimRequest request) {
		return this.shards.get(this.policy.shardOf(request.organisation(), request.key()));
	}

	/**
	 * Builds {@link Claims}.
	 */
	public static final class Builder {

		final ObjectStore store;

		final long incarnation;

		ClaimsPolicy policy = ClaimsPolicy.ofDefaults();

		TimeSource clock;

		LongSupplier epochSeconds;

		Executor executor = Runnable::run;

		private Builder(ObjectStore store, long incarnation) {
			this.store = Objects.requireNonNull(store);
			this.incarnation = incarnation;
		}

		/**
		 * Sets the layout and the time limits.
		 * @param policy the policy
		 * @return this builder
		 */
		public Builder policy(ClaimsPolicy policy) {
			this.policy = policy;
			return this;
		}

		/**
		 * Sets the monotonic clock.
		 * @param clock the clock
		 * @return this builder
		 */
		public Builder clock(TimeSource clock) {
			this.clock = clock;
			return this;
		}

		/**
		 * Sets the wall clock, which is only used for the age of claims.
		 * @param epochSeconds the seconds since 1970
		 * @return this builder
		 */
		public Builder epochSeconds(LongSupplier epochSeconds) {
			this.epochSeconds = epochSeconds;
			return this;
		}

		/**
		 * Sets the executor, which has to run its tasks on the thread that uses the
		 * claims.
		 * @param executor the executor
		 * @return this builder
		 */
		public Builder executor(Executor executor) {
			this.executor = executor;
			return this;
		}

		/**
		 * Builds the claims. Both clocks must have been set.
		 * @return the claims
		 */
		public Claims build() {
			Objects.requireNonNull(this.clock, "clock");
			Objects.requireNonNull(this.epochSeconds, "epochSeconds");
			return new Claims(this);
		}

	}

}
