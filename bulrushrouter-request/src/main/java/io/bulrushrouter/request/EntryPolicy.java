package io.bulrushrouter.request;

import java.time.Duration;
import java.util.Optional;

/**
 * Limits of attempts, retries and hedges at the entry.
 *
 * @param maxAttempts the maximum number of attempts of a request, hedges included; an
 * attempt that a draining upstream rejected does not count
 * @param minRemainingTime the least time to the deadline for a further attempt
 * @param cancelMargin how long before the deadline an attempt without a response is
 * cancelled, so that its sidecar reports whether it ran
 * @param hedgeDelay the time without a response after which an idempotent request is
 * hedged; empty for no hedging
 * @param stallTimeout the longest pause between two parts of an idempotent request's
 * response; after it the request is retried
 * @param resumesStreams whether the engines can resume a stream at a token offset
 * @param maxBufferedBytes how much of a response is buffered for a retry or a prefix
 * check, in bytes
 * @param retryAfter the least retry-after time of a rejected request
 */
public record EntryPolicy(int maxAttempts, Duration minRemainingTime, Duration cancelMargin,
		Optional<Duration> hedgeDelay, Duration stallTimeout, boolean resumesStreams, int maxBufferedBytes,
		Duration retryAfter) {

	/**
	 * Returns the default policy.
	 * @return the policy
	 */
	public static EntryPolicy ofDefaults() {
		return builder().build();
	}

	/**
	 * Returns a builder that starts with the default values.
	 * @return the builder
	 */
	public static Builder builder() {
		return new Builder();
	}

	/**
	 * Builds an {@link EntryPolicy}.
	 */
	public static final class Builder {

		private int maxAttempts = 3;

		private Duration minRemainingTime = Duration.ofMillis(50);

		private Duration cancelMargin = Duration.ofMillis(20);

		private Optional<Duration> hedgeDelay = Optional.empty();

		private Duration stallTimeout = Duration.ofSeconds(5);

		private boolean resumesStreams = true;

		private int maxBufferedBytes = 1 << 20;

		private Duration retryAfter = Duration.ofSeconds(1);

		private Builder() {
		}

		/**
		 * Sets the maximum number of attempts of a request.
		 * @param maxAttempts the number, at least 1
		 * @return this builder
		 */
		public Builder maxAttempts(int maxAttempts) {
			this.maxAttempts = maxAttempts;
			return this;
		}

		/**
		 * Sets the least time to the deadline for a further attempt.
		 * @param minRemainingTime the time
		 * @return this builder
		 */
		public Builder minRemainingTime(Duration minRemainingTime) {
			this.minRemainingTime = minRemainingTime;
			return this;
		}

		/**
		 * Sets how long before the deadline an attempt without a response is cancelled.
		 * @param cancelMargin the time
		 * @return this builder
		 */
		public Builder cancelMargin(Duration cancelMargin) {
			this.cancelMargin = cancelMargin;
			return this;
		}

		/**
		 * Sets the time without a response after which an idempotent request is hedged.
		 * @param hedgeDelay the time; empty for no hedging
		 * @return this builder
		 */
		public Builder hedgeDelay(Optional<Duration> hedgeDelay) {
			this.hedgeDelay = hedgeDelay;
			return this;
		}

		/**
		 * Sets the longest pause between two parts of a response.
		 * @param stallTimeout the time
		 * @return this builder
		 */
		public Builder stallTimeout(Duration stallTimeout) {
			this.stallTimeout = stallTimeout;
			return this;
		}

		/**
		 * Sets whether the engines can resume a stream at a token offset.
		 * @param resumesStreams whether they do
		 * @return this builder
		 */
		public Builder resumesStreams(boolean resumesStreams) {
			this.resumesStreams = resumesStreams;
			return this;
		}

		/**
		 * Sets how much of a response is buffered.
		 * @param maxBufferedBytes the bytes
		 * @return this builder
		 */
		public Builder maxBufferedBytes(int maxBufferedBytes) {
			this.maxBufferedBytes = maxBufferedBytes;
			return this;
		}

		/**
		 * Sets the least retry-after time of a rejected request.
		 * @param retryAfter the time
		 * @return this builder
		 */
		public Builder retryAfter(Duration retryAfter) {
			this.retryAfter = retryAfter;
			return this;
		}

		/**
		 * Builds the policy.
		 * @return the policy
		 */
		public EntryPolicy build() {
			return new EntryPolicy(this.maxAttempts, this.minRemainingTime, this.cancelMargin, this.hedgeDelay,
					this.stallTimeout, this.resumesStreams, this.maxBufferedBytes, this.retryAfter);
		}

	}

}
