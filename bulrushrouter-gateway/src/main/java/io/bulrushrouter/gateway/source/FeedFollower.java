package io.bulrushrouter.gateway.source;

import java.time.Duration;
import java.util.List;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;
import java.util.random.RandomGenerator;

import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

import io.bulrushrouter.kernel.TimeSource;

/**
 * Follows a {@link Feed}: lists it once, then watches, and lists again when the store has
 * lost the history. Runs on one thread, on which the feed's answers must come too.
 *
 * @param <T> what an object is decoded into
 */
public final class FeedFollower<T> implements AutoCloseable {

	private static final Logger logger = LoggerFactory.getLogger(FeedFollower.class);

	/** First pause after a failed call. */
	private static final long BASE_BACKOFF_MILLIS = 60;

	/** Longest pause after failed calls; half of a second keeps the return short. */
	private static final long MAX_BACKOFF_MILLIS = 500;

	private final String name;

	private final Feed<T> feed;

	private final Duration watchTimeout;

	private final Listener<T> listener;

	private final ScheduledExecutorService loop;

	private final TimeSource clock;

	private final RandomGenerator random;

	private long revision = -1;

	private int failures;

	private boolean closed;

	private FeedFollower(Builder<T> builder) {
		this.name = builder.name;
		this.feed = builder.feed;
		this.watchTimeout = builder.watchTimeout;
		this.listener = builder.listener;
		this.loop = builder.loop;
		this.clock = builder.clock;
		this.random = builder.random;
	}

	/**
	 * Returns a builder.
	 * @param name the feed's name in logs
	 * @param feed the feed
	 * @param listener is told what comes
	 * @param <T> what an object is decoded into
	 * @return the builder
	 */
	public static <T> Builder<T> builder(String name, Feed<T> feed, Listener<T> listener) {
		return new Builder<>(name, feed, listener);
	}

	/**
	 * Starts with a list.
	 */
	public void start() {
		requestNext();
	}

	private void requestNext() {
		if (this.closed) {
			return;
		}
		long requestedNanos = this.clock.nanos();
		var stage = (this.revision < 0) ? this.feed.list() : this.feed.watch(this.revision, this.watchTimeout);
		stage.thenAccept((answer) -> accept(answer, requestedNanos));
	}

	private void accept(FeedResult<T> result, long requestedNanos) {
		if (this.closed) {
			return;
		}
		if (result instanceof FeedResult.Unavailable<T> unavailable) {
			failed(unavailable.reason());
			return;
		}
		if (result instanceof FeedResult.HistoryLost<T>) {
			logger.info("event=store-history-lost feed={} revision={}", this.name, this.revision);
			this.revision = -1;
			requestNext();
			return;
		}
		if (this.failures > 0) {
			logger.info("event=store-regained feed={} failed-calls={}", this.name, this.failures);
			this.failures = 0;
		}
		if (result instanceof FeedResult.Listed<T> listed) {
			this.revision = listed.revision();
			this.listener.listed(listed.items(), requestedNanos);
		}
		else if (result instanceof FeedResult.Changed<T> changed) {
			this.revision = Math.max(this.revision, changed.revision());
			this.listener.changed(changed.changes(), requestedNanos);
		}
		requestNext();
	}

	private void failed(String reason) {
		if (this.failures++ == 0) {
			logger.warn("event=store-lost feed={} reason=\"{}\"", this.name, reason);
		}
		this.listener.unavailable();
		long backoffMillis = Math.min(MAX_BACKOFF_MILLIS, BASE_BACKOFF_MILLIS << Math.min(this.failures, 6));
		this.loop.schedule(this::requestNext, backoffMillis / 2 + this.random.nextLong(backoffMillis),
				TimeUnit.MILLISECONDS);
	}

	@Override
	public void close() {
		this.closed = true;
	}

	/**
	 * Is told what a feed holds.
	 *
	 * @param <T> what an object is decoded into
	 */
	public interface Listener<T> {

		/**
		 * All objects, in place of what was known. To a listener that forgets nothing it
		 * is the same as a change.
		 * @param items the objects
		 * @param requestedNanos when the store was asked
		 */
		default void listed(List<FeedResult.Item<T>> items, long requestedNanos) {
			changed(items, requestedNanos);
		}

		/**
		 * What changed.
		 * @param changes the changes, none if the wait ended without any
		 * @param requestedNanos when the store was asked
		 */
		void changed(List<FeedResult.Item<T>> changes, long requestedNanos);

		/**
		 * A call failed.
		 */
		void unavailable();

	}

	/**
	 * Builds a follower.
	 *
	 * @param <T> what an object is decoded into
	 */
	public static final class Builder<T> {

		private final String name;

		private final Feed<T> feed;

		private final Listener<T> listener;

		private Duration watchTimeout = Duration.ofMillis(1_500);

		private ScheduledExecutorService loop;

		private TimeSource clock = TimeSource.ofSystem();

		private RandomGenerator random;

		private Builder(String name, Feed<T> feed, Listener<T> listener) {
			this.name = name;
			this.feed = feed;
			this.listener = listener;
		}

		/**
		 * Sets how long a watch waits.
		 * @param watchTimeout the time
		 * @return this builder
		 */
		public Builder<T> watchTimeout(Duration watchTimeout) {
			this.watchTimeout = watchTimeout;
			return this;
		}

		/**
		 * Sets the thread and its timers.
		 * @param loop the thread
		 * @return this builder
		 */
		public Builder<T> loop(ScheduledExecutorService loop) {
			this.loop = loop;
			return this;
		}

		/**
		 * Sets the clock.
		 * @param clock the clock
		 * @return this builder
		 */
		public Builder<T> clock(TimeSource clock) {
			this.clock = clock;
			return this;
		}

		/**
		 * Sets the random source of the pauses.
		 * @param random the source
		 * @return this builder
		 */
		public Builder<T> random(RandomGenerator random) {
			this.random = random;
			return this;
		}

		/**
		 * Returns the follower.
		 * @return the follower, not started
		 */
		public FeedFollower<T> build() {
			return new FeedFollower<>(this);
		}

	}

}
