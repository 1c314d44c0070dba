package io.bulrushrouter.request;

import java.time.Duration;
import java.util.Optional;

/**
 * The rules of attempts at the entry.
 *
 * @param maxAttempts the most attempts of a request, hedges included; an attempt that a
 * draining upstream handed back does not count
 * @param minRemainingTime the time before the deadline in which no further attempt is
 * sent
 * @param cancelMargin how long before the deadline an attempt without an answer is
 * cancelled, to learn whether it ran
 * @param hedgeDelay how long an idempotent request waits before it is hedged; empty for
 * never
 * @param stallTimeout how long the parts of an idempotent request's answer may pause
 * before another attempt is made
 * @param resumesStreams whether the engines resume a stream at a token offset
 * @param maxBufferedBytes how much of an answer is kept for a retry or a prefix check
 * @param retryAfter when a refused caller is told to come back, unless the sidecar says
 * otherwise
 */
public record EntryPolicy(int maxAttempts, Duration minRemainingTime, Duration cancelMargin,
		Optional<Duration> hedgeDelay, Duration stallTimeout, boolean resumesStreams, int maxBufferedBytes,
		Duration retryAfter) {

	/**
	 * Returns the default rules.
	 * @return the rules
	 */
	public static EntryPolicy ofDefaults() {
		return builder().build();
	}

	/**
	 * Returns a builder that starts with the default rules.
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
		 * Sets the most attempts of a request.
		 * @param maxAttempts the number, at least 1
		 * @return this builder
		 */
		public Builder maxAttempts(int maxAttempts) {
			this.maxAttempts = maxAttempts;
			return this;
		}

		/**
		 * Sets the time before the deadline in which no further attempt is sent.
		 * @param minRemainingTime the time
		 * @return this builder
		 */
		public Builder minRemainingTime(Duration minRemainingTime) {
			this.minRemainingTime = minRemainingTime;
			return this;
		}

		/**
		 * Sets how long before the deadline an unanswered attempt is cancelled.
		 * @param cancelMargin the time
		 * @return this builder
		 */
		public Builder cancelMargin(Duration cancelMargin) {
			this.cancelMargin = cancelMargin;
			return this;
		}

		/**
		 * Sets how long an idempotent request waits before it is hedged.
		 * @param hedgeDelay the time; empty for never
		 * @return this builder
		 */
		public Builder hedgeDelay(Optional<Duration> hedgeDelay) {
			this.hedgeDelay = hedgeDelay;
			return this;
		}

		/**
		 * Sets how long an answer may pause.
		 * @param stallTimeout the time
		 * @return this builder
		 */
		public Builder stallTimeout(Duration stallTimeout) {
			this.stallTimeout = stallTimeout;
			return this;
		}

		/**
		 * Sets whether the engines resume a stream at a token offset.
		 * @param resumesStreams whether they do
		 * @return this builder
		 */
		public Builder resumesStreams(boolean resumesStreams) {
			this.resumesStreams = resumesStreams;
			return this;
		}

		/**
		 * Sets how much of an answer is kept.
		 * @param maxBufferedBytes the bytes
		 * @return this builder
		 */
		public Builder maxBufferedBytes(int maxBufferedBytes) {
			this.maxBufferedBytes = maxBufferedBytes;
			return this;
		}

		/**
		 * Sets when a refused caller is told to come back.
		 * @param retryAfter the time
		 * @return this builder
		 */
		public Builder retryAfter(Duration retryAfter) {
			this.retryAfter = retryAfter;
			return this;
		}

		/**
		 * Returns the rules.
		 * @return the rules
		 */
		public EntryPolicy build() {
			return new EntryPolicy(this.maxAttempts, this.minRemainingTime, this.cancelMargin, this.hedgeDelay,
					this.stallTimeout, this.resumesStreams, this.maxBufferedBytes, this.retryAfter);
		}

	}

}
