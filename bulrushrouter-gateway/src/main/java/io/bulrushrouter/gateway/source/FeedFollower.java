package io.bulrushrouter.gateway.source;

import java.time.Duration;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionStage;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;
import java.util.function.Supplier;
import java.util.random.RandomGenerator;

import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

import io.bulrushrouter.kernel.TimeSource;

/**
 * Keeps a listener up to date with a {@link Feed}: lists it once, then watches it, and
 * lists it again when the store no longer has the history, was restored from a copy, or
 * has more changes than fit into an answer. After two watches have failed in a row, the
 * third call lists, in case the store serves only that. Failed calls are retried with
 * exponential backoff and jitter. Whatever the feed or the listener throws, the objects
 * are listed again after a delay. Runs on a single thread, on which the stages of the
 * feed must complete too.
 * <p>
 * A call that is not answered says nothing about the store. It is repeated at once on a
 * new connection: if that is answered, only a connection was lost.
 *
 * @param <T> the type that objects are decoded into
 */
public final class FeedFollower<T> implements AutoCloseable {

	private static final Logger logger = LoggerFactory.getLogger(FeedFollower.class);

	/** Backoff after failed calls, short so that a recovered store is noticed soon. */
	private static final JitteredBackoff BACKOFF = new JitteredBackoff(60, 500);

	/** Backoff after errors of this process, which a recovered store does not end. */
	private static final JitteredBackoff ERROR_BACKOFF = new JitteredBackoff(100, 5_000);

	/** The least time for which an answer is overdue before the call is repeated. */
	private static final Duration MIN_OVERDUE = Duration.ofMillis(300);

	/** The same while the store is slow. */
	private static final Duration MAX_OVERDUE = Duration.ofMillis(1_200);

	/**
	 * An entry lapses after three heartbeats of 1.2 s are missing, of which one may have
	 * been due when the store last answered.
	 */
	private static final Duration DEFAULT_MAX_SILENCE = Duration.ofMillis(2_200);

	private static final long UNKNOWN_ERA = -1;

	/** The number of calls in a row, while all fail, of which the last one lists. */
	private static final int CALLS_PER_LIST = 3;

	private final String name;

	private final Feed<T> feed;

	private final Supplier<Duration> watchTimeout;

	private final Duration minWatchInterval;

	private final Duration maxSilence;

	private final Listener<T> listener;

	private final ScheduledExecutorService loop;

	private final TimeSource clock;

	private final RandomGenerator random;

	private final FeedCounters counters;

	private long revision = -1;

	private long era = UNKNOWN_ERA;

	private int failures;

	private int errors;

	private int largeAnswers;

	private boolean listing;

	private boolean changesTooLarge;

	private long answeredNanos;

	private long overdueNanos = MIN_OVERDUE.toNanos();

	private boolean closed;

	private FeedFollower(Builder<T> builder) {
		this.name = builder.name;
		this.feed = builder.feed;
		this.watchTimeout = builder.watchTimeout;
		this.minWatchInterval = builder.minWatchInterval;
		this.maxSilence = builder.maxSilence;
		this.listener = builder.listener;
		this.loop = builder.loop;
		this.clock = builder.clock;
		this.random = builder.random;
		this.counters = builder.counters;
	}

	/**
	 * Creates a builder.
	 * @param name the feed's name in logs
	 * @param feed the feed
	 * @param listener the listener that receives the feed's objects and changes
	 * @param <T> the type that objects are decoded into
	 * @return the builder
	 */
	public static <T> Builder<T> builder(String name, Feed<T> feed, Listener<T> listener) {
		return new Builder<>(name, feed, listener);
	}

	/**
	 * Starts following the feed by listing it.
	 */
	public void start() {
		this.answeredNanos = this.clock.nanos();
		requestNext();
	}

	// Each call schedules exactly one next call, also after an error.
	private void requestNext() {
		if (this.closed) {
			return;
		}
		CompletableFuture.completedStage(null)
			.thenCompose((start) -> listOrWatch())
			.thenApply(this::accept)
			.whenComplete((delayNanos, error) -> requestAfter((error != null) ? failed(error) : delayNanos));
	}

	private CompletionStage<FeedCall.Outcome<T>> listOrWatch() {
		this.listing = listsNext();
		FeedCall<T> call = this.listing ? FeedCall.ofList(this.feed, this.loop, this.clock)
				: FeedCall.ofWatch(this.feed, this.revision, this.loop, this.clock);
		Duration wait = this.listing ? Duration.ZERO : this.watchTimeout.get();
		// While the store is unavailable a repetition would only double the calls.
		return (this.failures > 0) ? call.send(wait)
				: call.sendRepeatable(wait, this.listing ? MAX_OVERDUE : Duration.ofNanos(this.overdueNanos));
	}

	private boolean listsNext() {
		return this.revision < 0 || this.changesTooLarge || this.failures % CALLS_PER_LIST == CALLS_PER_LIST - 1;
	}

	private void requestAfter(long delayNanos) {
		if (delayNanos <= 0) {
			requestNext();
		}
		else {
			this.loop.schedule(this::requestNext, delayNanos, TimeUnit.NANOSECONDS);
		}
	}

	// Returns the delay of the next call.
	private long accept(FeedCall.Outcome<T> outcome) {
		if (this.closed) {
			return 0;
		}
		FeedResult<T> result = outcome.result();
		if (result instanceof FeedResult.Unavailable<T> unavailable) {
			return failed(unavailable.reason());
		}
		if (result instanceof FeedResult.Unanswered<T> unanswered) {
			return failed(unanswered.reason());
		}
		recordAnswer(outcome);
		if (result instanceof FeedResult.HistoryLost<T> lost) {
			logger.info("event=store-history-lost feed={} revision={} reason=\"{}\"", this.name, this.revision,
					lost.reason());
			this.revision = -1;
			return 0;
		}
		if (this.failures > 0) {
			logger.info("event=store-regained feed={} failed-calls={}", this.name, this.failures);
			this.failures = 0;
		}
		if (result instanceof FeedResult.TooLarge<T> tooLarge) {
			return tooLarge(tooLarge.reason());
		}
		this.largeAnswers = 0;
		this.changesTooLarge = false;
		long delayNanos = (result instanceof FeedResult.Changed<T> changed)
				? acceptChanges(changed, outcome.requestedNanos())
				: acceptList((FeedResult.Listed<T>) result, outcome.requestedNanos());
		this.errors = 0;
		return delayNanos;
	}

	private void recordAnswer(FeedCall.Outcome<T> outcome) {
		long nowNanos = this.clock.nanos();
		if (outcome.repeated()) {
			connectionLost(nowNanos - this.answeredNanos, nowNanos - outcome.requestedNanos());
		}
		this.answeredNanos = nowNanos;
		// A store that answers late is slow for a while.
		this.overdueNanos = Math.min(MAX_OVERDUE.toNanos(), Math.max(MIN_OVERDUE.toNanos(), 2 * outcome.lateNanos()));
	}

	private void connectionLost(long silentNanos, long answerNanos) {
		boolean outagePossible = silentNanos > this.maxSilence.toNanos();
		logger.warn(
				"event=store-connection-lost feed={} silent-ms={} answered-on-new-connection-after-ms={} "
						+ "outage-possible={}",
				this.name, TimeUnit.NANOSECONDS.toMillis(silentNanos), TimeUnit.NANOSECONDS.toMillis(answerNanos),
				outagePossible);
		this.counters.recordLostConnection();
		if (outagePossible) {
			this.listener.unavailable();
		}
	}

	// The store is not lost. Changes that are too large are listed at once; after a list
	// that is too large, a watch may bring changes that are not.
	private long tooLarge(String reason) {
		this.counters.recordLargeAnswer();
		if (this.largeAnswers++ == 0) {
			logger.warn("event=store-answer-too-large feed={} call={} revision={} reason=\"{}\"", this.name,
					this.listing ? "list" : "watch", this.revision, reason);
		}
		this.changesTooLarge = !this.listing;
		return this.listing ? TimeUnit.MILLISECONDS.toNanos(BACKOFF.delayMillis(this.largeAnswers, this.random)) : 0;
	}

	private long acceptList(FeedResult.Listed<T> listed, long requestedNanos) {
		if (fromOlderEra(listed.era())) {
			return olderEra(listed.era());
		}
		enter(listed.era(), listed.revision());
		this.revision = listed.revision();
		this.listener.listed(listed.items(), requestedNanos);
		return 0;
	}

	private long acceptChanges(FeedResult.Changed<T> changed, long requestedNanos) {
		if (fromOlderEra(changed.era())) {
			return olderEra(changed.era());
		}
		if (enter(changed.era(), changed.revision())) {
			// Revisions were given out again, so the changes do not follow what is known.
			this.revision = -1;
			return 0;
		}
		this.revision = Math.max(this.revision, changed.revision());
		this.listener.changed(changed.changes(), requestedNanos);
		// When the whole fleet starts, each object changes by itself: the next call then
		// returns many changes at once.
		return this.minWatchInterval.toNanos() - (this.clock.nanos() - requestedNanos);
	}

	// An answer that was sent before the store was restored describes objects that may no
	// longer exist.
	private boolean fromOlderEra(long answerEra) {
		return answerEra != Feed.ERA_NOT_STATED && answerEra < this.era;
	}

	private long olderEra(long answerEra) {
		return failed("an answer of era " + answerEra + " arrived in era " + this.era);
	}

	// Returns whether the store was restored from a copy since the last answer.
	private boolean enter(long answerEra, long answerRevision) {
		boolean restored = this.era != UNKNOWN_ERA && answerEra > this.era;
		if (restored) {
			logger.warn("event=store-restored feed={} era={} previous-era={} revision={} previous-revision={}",
					this.name, answerEra, this.era, answerRevision, this.revision);
			this.listener.restored();
		}
		this.era = Math.max(this.era, answerEra);
		return restored;
	}

	private long failed(String reason) {
		if (this.failures++ == 0) {
			logger.warn("event=store-lost feed={} reason=\"{}\"", this.name, reason);
			this.counters.recordOutage();
		}
		this.listener.unavailable();
		return TimeUnit.MILLISECONDS.toNanos(BACKOFF.delayMillis(this.failures, this.random));
	}

	// A listener that failed may have taken only some of the changes, so all objects are
	// listed.
	private long failed(Throwable error) {
		logger.error("event=feed-failed feed={} detail=\"{}\"", this.name, error.toString(), error);
		this.counters.recordError();
		this.revision = -1;
		return TimeUnit.MILLISECONDS.toNanos(ERROR_BACKOFF.delayMillis(this.errors++, this.random));
	}

	@Override
	public void close() {
		this.closed = true;
	}

	/**
	 * Receives the objects of a feed and their changes.
	 *
	 * @param <T> the type that objects are decoded into
	 */
	public interface Listener<T> {

		/**
		 * Receives all objects, which replace those known before. By default they are
		 * passed on as changes, which suits a listener that never removes anything.
		 * @param items the objects
		 * @param requestedNanos the monotonic time at which the store was called, in
		 * nanoseconds
		 */
		default void listed(List<FeedResult.Item<T>> items, long requestedNanos) {
			changed(items, requestedNanos);
		}

		/**
		 * Receives changes.
		 * @param changes the changes, empty if the watch timed out
		 * @param requestedNanos the monotonic time at which the store was called, in
		 * nanoseconds
		 */
		void changed(List<FeedResult.Item<T>> changes, long requestedNanos);

		/**
		 * Called when the store was restored from a copy, before the objects are listed
		 * anew. What was written last may be missing in the copy until it is written
		 * again.
		 */
		default void restored() {
		}

		/**
		 * Called when the store was or may have been unavailable: it refused a call, did
		 * not answer on a new connection either, or was silent for longer than
		 * {@link Builder#maxSilence(Duration)}. It is not called when only a connection
		 * was lost.
		 */
		void unavailable();

	}

	/**
	 * Builder of {@link FeedFollower}.
	 *
	 * @param <T> the type that objects are decoded into
	 */
	public static final class Builder<T> {

		private final String name;

		private final Feed<T> feed;

		private final Listener<T> listener;

		private Supplier<Duration> watchTimeout = () -> Duration.ofMillis(1_500);

		private Duration minWatchInterval = Duration.ZERO;

		private Duration maxSilence = DEFAULT_MAX_SILENCE;

		private ScheduledExecutorService loop;

		private TimeSource clock = TimeSource.ofSystem();

		private RandomGenerator random;

		private FeedCounters counters = new FeedCounters();

		private Builder(String name, Feed<T> feed, Listener<T> listener) {
			this.name = name;
			this.feed = feed;
			this.listener = listener;
		}

		/**
		 * Sets the maximum time that a watch waits for changes.
		 * @param watchTimeout the timeout
		 * @return this builder
		 */
		public Builder<T> watchTimeout(Duration watchTimeout) {
			return watchTimeout(() -> watchTimeout);
		}

		/**
		 * Sets the maximum time that a watch waits for changes, asked for each watch.
		 * @param watchTimeout returns the timeout
		 * @return this builder
		 */
		public Builder<T> watchTimeout(Supplier<Duration> watchTimeout) {
			this.watchTimeout = watchTimeout;
			return this;
		}

		/**
		 * Sets the minimum time from one watch to the next. A change that occurs alone is
		 * received at once; one that follows it is received up to this time later.
		 * @param minWatchInterval the interval
		 * @return this builder
		 */
		public Builder<T> minWatchInterval(Duration minWatchInterval) {
			this.minWatchInterval = minWatchInterval;
			return this;
		}

		/**
		 * Sets the time without an answer up to which no object can have lapsed, so that
		 * a connection that was lost meanwhile hides no outage that matters.
		 * @param maxSilence the time
		 * @return this builder
		 */
		public Builder<T> maxSilence(Duration maxSilence) {
			this.maxSilence = maxSilence;
			return this;
		}

		/**
		 * Sets the single-threaded executor that runs the follower and its timers.
		 * @param loop the executor
		 * @return this builder
		 */
		public Builder<T> loop(ScheduledExecutorService loop) {
			this.loop = loop;
			return this;
		}

		/**
		 * Sets the monotonic clock.
		 * @param clock the clock
		 * @return this builder
		 */
		public Builder<T> clock(TimeSource clock) {
			this.clock = clock;
			return this;
		}

		/**
		 * Sets the random source of the backoff's jitter.
		 * @param random the source
		 * @return this builder
		 */
		public Builder<T> random(RandomGenerator random) {
			this.random = random;
			return this;
		}

		/**
		 * Sets the counters of what the follower met, which several followers may share.
		 * @param counters the counters
		 * @return this builder
		 */
		public Builder<T> counters(FeedCounters counters) {
			this.counters = counters;
			return this;
		}

		/**
		 * Builds the follower.
		 * @return the follower, not yet started
		 */
		public FeedFollower<T> build() {
			return new FeedFollower<>(this);
		}

	}

}
