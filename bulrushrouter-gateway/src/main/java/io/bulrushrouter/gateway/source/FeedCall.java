package io.bulrushrouter.gateway.source;

import java.time.Duration;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionStage;
import java.util.concurrent.Future;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;
import java.util.function.BiFunction;

import io.bulrushrouter.kernel.TimeSource;

/**
 * A call to a {@link Feed} that is repeated once, on a new connection, if its own
 * connection is silent or was lost. The first answer counts. Runs on a single thread.
 *
 * @param <T> the type that objects are decoded into
 */
final class FeedCall<T> {

	/** The wait of a repeated watch, whose answer is to come at once. */
	private static final Duration REPEATED_WAIT = Duration.ofMillis(1);

	private final Feed<T> feed;

	private final ScheduledExecutorService loop;

	private final TimeSource clock;

	private final BiFunction<Duration, Runnable, CompletionStage<FeedResult<T>>> request;

	private final CompletableFuture<Outcome<T>> outcome = new CompletableFuture<>();

	private int pending;

	private boolean repeated;

	private Optional<Future<?>> overdueTimer = Optional.empty();

	private volatile boolean progressed;

	private FeedCall(Feed<T> feed, ScheduledExecutorService loop, TimeSource clock,
			BiFunction<Duration, Runnable, CompletionStage<FeedResult<T>>> request) {
		this.feed = feed;
		this.loop = loop;
		this.clock = clock;
		this.request = request;
	}

	/**
	 * Creates a call that lists all objects.
	 * @param feed the feed
	 * @param loop the single-threaded executor that runs the call
	 * @param clock the monotonic clock
	 * @param <T> the type that objects are decoded into
	 * @return the call, not yet sent
	 */
	static <T> FeedCall<T> ofList(Feed<T> feed, ScheduledExecutorService loop, TimeSource clock) {
		return new FeedCall<>(feed, loop, clock, (wait, progress) -> feed.list(progress));
	}

	/**
	 * Creates a call that watches changes.
	 * @param feed the feed
	 * @param revision the revision up to which all changes are known
	 * @param loop the single-threaded executor that runs the call
	 * @param clock the monotonic clock
	 * @param <T> the type that objects are decoded into
	 * @return the call, not yet sent
	 */
	static <T> FeedCall<T> ofWatch(Feed<T> feed, long revision, ScheduledExecutorService loop, TimeSource clock) {
		return new FeedCall<>(feed, loop, clock, (wait, progress) -> feed.watch(revision, wait, progress));
	}

	/**
	 * Sends the call without a repetition.
	 * @param wait the maximum time that a watch waits for changes
	 * @return the outcome, which is exceptional if the feed threw something
	 */
	CompletionStage<Outcome<T>> send(Duration wait) {
		this.repeated = true;
		send(wait, false);
		return this.outcome;
	}

	/**
	 * Sends the call and repeats it once its connection is lost or its answer is overdue.
	 * While parts of the answer arrive, it is not.
	 * @param wait the maximum time that a watch waits for changes
	 * @param overdue the time after the wait from which the answer is overdue
	 * @return the outcome, which is exceptional if the feed threw something
	 */
	CompletionStage<Outcome<T>> sendRepeatable(Duration wait, Duration overdue) {
		send(wait, false);
		if (!this.outcome.isDone()) {
			repeatAfter(wait.plus(overdue), overdue);
			this.outcome.whenComplete((done, error) -> this.overdueTimer.ifPresent((timer) -> timer.cancel(false)));
		}
		return this.outcome;
	}

	private void repeatAfter(Duration delay, Duration overdue) {
		this.progressed = false;
		this.overdueTimer = Optional
			.of(this.loop.schedule(() -> repeatIfOverdue(overdue), delay.toNanos(), TimeUnit.NANOSECONDS));
	}

	private void repeatIfOverdue(Duration overdue) {
		if (this.progressed && !this.outcome.isDone()) {
			repeatAfter(overdue, overdue);
		}
		else {
			repeat();
		}
	}

	private void repeat() {
		if (!this.repeated && !this.outcome.isDone()) {
			this.repeated = true;
			this.feed.renewConnections();
			send(REPEATED_WAIT, true);
		}
	}

	private void send(Duration wait, boolean repetition) {
		this.pending++;
		long requestedNanos = this.clock.nanos();
		CompletableFuture.completedStage(null)
			.thenCompose((start) -> this.request.apply(wait, () -> this.progressed = true))
			.thenAccept((result) -> completed(result, wait, requestedNanos, repetition))
			.exceptionally((error) -> {
				this.outcome.completeExceptionally(error);
				return null;
			});
	}

	private void completed(FeedResult<T> result, Duration wait, long requestedNanos, boolean repetition) {
		this.pending--;
		if (result instanceof FeedResult.Unanswered<T> && !(this.repeated && this.pending == 0)) {
			repeat();
			return;
		}
		long lateNanos = this.clock.nanos() - requestedNanos - wait.toNanos();
		this.outcome.complete(new Outcome<>(result, requestedNanos, lateNanos, repetition));
	}

	/**
	 * The outcome of a call.
	 *
	 * @param result the result
	 * @param requestedNanos the monotonic time at which the call with this result was
	 * sent, in nanoseconds
	 * @param lateNanos the time from the end of the wait to the result, negative if it
	 * came before
	 * @param repeated whether the first connection was silent or lost and this is the
	 * result of the repetition
	 * @param <T> the type that objects are decoded into
	 */
	record Outcome<T>(FeedResult<T> result, long requestedNanos, long lateNanos, boolean repeated) {
	}

}
