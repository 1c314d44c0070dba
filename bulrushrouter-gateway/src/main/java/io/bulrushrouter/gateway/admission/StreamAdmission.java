package io.bulrushrouter.gateway.admission;

import java.util.List;
import java.util.Optional;
import java.util.concurrent.TimeUnit;
import java.util.function.DoubleConsumer;
import java.util.random.RandomGenerator;

import io.bulrushrouter.routing.admission.AdmissionQueue;
import io.bulrushrouter.routing.admission.FirstEventEstimate;
import io.bulrushrouter.routing.admission.PaceLimit;
import io.bulrushrouter.routing.admission.StreamPace;
import io.bulrushrouter.routing.admission.WaitingStream;

/**
 * Admission of the streams of one service at this entry. Streams are limited by the
 * latency of first events ({@link ConcurrencyLimit}) and, where the configuration names a
 * longest pause, by the interval between events ({@link PaceLimit}); the smaller limit
 * applies. Streams beyond the limit wait in an {@link AdmissionQueue}. Not thread-safe.
 *
 * @param <T> the type of a stream
 */
public final class StreamAdmission<T> {

	/**
	 * Share of admissions of streams that have missed their objective, while any waits.
	 * Each of them takes the place of a stream that can still be on time.
	 */
	private static final double LATE_SHARE = 0.25;

	/**
	 * Maximum number of waiting streams as a ratio of the limit where streams are limited
	 * by first events alone. Further streams would time out in the queue.
	 */
	private static final double MAX_QUEUE_RATIO = 1;

	/**
	 * Maximum number of waiting streams as a ratio of this entry's equal share of the
	 * slots. The predicted wait refuses earlier; this bounds the memory.
	 */
	private static final double MAX_QUEUE_SHARE = 4;

	private static final int MIN_QUEUE = 16;

	/**
	 * Share of the objective that a first event is assumed to take before any is known.
	 */
	private static final double UNKNOWN_FIRST_EVENT_SHARE = 0.5;

	/**
	 * Largest share of the objective that a first event is assumed to take. The estimate
	 * changes only if streams are started, so a long one must never keep them from being
	 * started.
	 */
	private static final double MAX_FIRST_EVENT_SHARE = 0.8;

	/** Shortest Retry-After, in milliseconds: about the length of a turn of the queue. */
	private static final double MIN_RETRY_MILLIS = 250;

	/** Share of the remaining time of a caller that its Retry-After may take at most. */
	private static final double MAX_RETRY_SHARE = 1.0 / 3;

	/** Retry-After is spread by up to this ratio to either side. */
	private static final double RETRY_JITTER = 0.35;

	/**
	 * Upper bound of the time before which a return counts as too early. A caller that
	 * was refused when less waited must not be taken for one that ignored its
	 * Retry-After.
	 */
	private static final double MAX_SHORTEST_RETURN_MILLIS = 500;

	private static final double HALF = 0.5;

	private final Callbacks<T> callbacks;

	private final ConcurrencyLimit firstEventLimit;

	private final FirstEventEstimate firstEvents = new FirstEventEstimate();

	private final AdmissionQueue<T> queue;

	private final AdmissionPacer pacer;

	private final RoomHolders holders = new RoomHolders();

	private AdmissionSettings settings;

	private final Optional<PaceLimit> paceLimit;

	private int slots;

	private int entries = 1;

	private long nowNanos;

	private boolean pumping;

	/**
	 * Creates the admission of a service.
	 * @param settings what the configuration says
	 * @param callbacks receives what is decided about waiting streams
	 * @param onPredictionRatio receives observed intervals as ratios of the predicted
	 * ones
	 * @param nowNanos the current monotonic time, in nanoseconds
	 */
	public StreamAdmission(AdmissionSettings settings, Callbacks<T> callbacks, DoubleConsumer onPredictionRatio,
			long nowNanos) {
		this.settings = settings;
		this.callbacks = callbacks;
		this.firstEventLimit = new ConcurrencyLimit(settings.objective().toMillis());
		// Without a limit by pauses, streams of returning callers go before all others.
		double lateShare = settings.maxEventGap().isPresent() ? LATE_SHARE : 1;
		this.queue = new AdmissionQueue<>(settings.classes(), lateShare, this::places, nowNanos);
		this.pacer = new AdmissionPacer(nowNanos);
		this.paceLimit = settings.maxEventGap()
			.map((gap) -> new PaceLimit(settings.fixedPassMillis(), gap.toMillis(), onPredictionRatio));
		this.nowNanos = nowNanos;
	}

	/**
	 * Applies a changed configuration.
	 * @param replacement what the configuration says now
	 * @param now the current monotonic time, in nanoseconds
	 * @return whether it can be applied to the streams in flight; if not, a new admission
	 * has to be created for further streams
	 */
	public boolean reconfigure(AdmissionSettings replacement, long now) {
		boolean sameLimits = replacement.objective().equals(this.settings.objective())
				&& replacement.maxEventGap().equals(this.settings.maxEventGap())
				&& replacement.fixedPassMillis() == this.settings.fixedPassMillis();
		if (sameLimits) {
			this.settings = replacement;
			this.queue.classes(replacement.classes(), now);
		}
		return sameLimits;
	}

	/**
	 * Sets the slots of the service.
	 * @param allSlots the slots of all upstreams that accept requests
	 * @param liveEntries the number of entries that share them
	 */
	public void slots(int allSlots, int liveEntries) {
		this.slots = allSlots;
		this.entries = Math.max(1, liveEntries);
		this.firstEventLimit.slots(allSlots);
		if (this.paceLimit.isPresent()) {
			this.paceLimit.get().slots(allSlots, this.entries);
		}
		this.pacer.rate((double) allSlots / this.entries);
	}

	private int places(int index) {
		int underLimit = limit(index) - this.firstEventLimit.inFlight();
		return this.paceLimit.isPresent() ? Math.min(underLimit, this.pacer.available(this.nowNanos)) : underLimit;
	}

	/**
	 * Returns the limit for a class.
	 * @param index the class
	 * @return the maximum number of streams in flight
	 */
	public int limit(int index) {
		int firstEvents = this.firstEventLimit.limit();
		if (this.paceLimit.isEmpty()) {
			return firstEvents;
		}
		double share = this.queue.classes().share(index);
		return Math.min(firstEvents, this.paceLimit.get().limit(share, this.nowNanos));
	}

	/**
	 * Offers a stream. It is admitted, queued, or refused if it could not be started
	 * before its caller leaves; another stream may be refused in its place.
	 * @param stream the stream
	 * @param now the current monotonic time, in nanoseconds
	 */
	public void offer(WaitingStream<T> stream, long now) {
		if (decide(stream, now) == Decision.REFUSED) {
			this.queue.refused(stream, now);
			this.callbacks.refused(stream.item());
			return;
		}
		this.queue.offer(stream, now);
		pump(now);
		if (this.settings.maxEventGap().isPresent() && this.queue.waiting() > maxWaiting()) {
			this.queue.displace().ifPresent((displaced) -> this.callbacks.refused(displaced.item()));
		}
	}

	/**
	 * Returns what would be decided on a stream now.
	 * @param stream the stream
	 * @param now the current monotonic time, in nanoseconds
	 * @return the decision, without effect
	 */
	public Decision decide(WaitingStream<T> stream, long now) {
		this.nowNanos = now;
		int index = classOf(stream);
		if (!stream.returning() && (this.settings.maxEventGap().isPresent() ? startsTooLate(stream, index, now)
				: this.queue.waiting() >= MAX_QUEUE_RATIO * limit(0) && places(0) <= 0)) {
			return Decision.REFUSED;
		}
		boolean free = places(index) > 0 && (this.queue.waiting() == 0 || stream.returning());
		return free ? Decision.ADMITTED : Decision.WAITING;
	}

	private boolean startsTooLate(WaitingStream<T> stream, int index, long now) {
		long waitNanos = this.queue.predictWaitNanos(index, stream.organisation(), now);
		// During a stall the rate of admissions is 0 and predicts nothing.
		boolean stalled = this.paceLimit.isPresent() && this.paceLimit.get().stalled();
		return waitNanos > 0 && !stalled && now + waitNanos > stream.startByNanos();
	}

	private int maxWaiting() {
		return (int) Math.max(MIN_QUEUE, MAX_QUEUE_SHARE * this.slots / this.entries);
	}

	/**
	 * Returns the class of a stream.
	 * @param stream the stream
	 * @return the class
	 */
	public int classOf(WaitingStream<T> stream) {
		return this.queue.classes().indexOf(stream.priority());
	}

	/**
	 * Admits waiting streams while there is room.
	 * @param now the current monotonic time, in nanoseconds
	 */
	public void pump(long now) {
		this.nowNanos = now;
		if (this.pumping) {
			return;
		}
		this.pumping = true;
		try {
			Optional<WaitingStream<T>> next = this.queue.next(now);
			while (next.isPresent()) {
				admit(next.get());
				next = this.queue.next(now);
			}
		}
		finally {
			this.pumping = false;
		}
	}

	private void admit(WaitingStream<T> stream) {
		this.firstEventLimit.started();
		this.holders.started(stream.priority(), stream.organisation());
		this.pacer.take(this.nowNanos);
		this.callbacks.admitted(stream.item());
	}

	/**
	 * Records events of an admitted stream.
	 * @param pace the times of the stream's events
	 * @param count the number of events that were read together
	 * @param now the current monotonic time, in nanoseconds
	 */
	public void events(StreamPace pace, int count, long now) {
		if (this.paceLimit.isPresent()) {
			this.paceLimit.get().event(pace, count, this.firstEventLimit.inFlight(), now);
		}
	}

	/**
	 * Records the first event of a stream.
	 * @param millis the time since the stream was sent to its upstream, in milliseconds
	 * @param now the current monotonic time, in nanoseconds
	 */
	public void firstEvent(double millis, long now) {
		this.firstEventLimit.firstEvent(millis, now);
		this.firstEvents.record(millis);
	}

	/**
	 * Records that an admitted stream ended, and admits waiting ones.
	 * @param stream the stream
	 * @param pace the times of the stream's events
	 * @param now the current monotonic time, in nanoseconds
	 */
	public void ended(WaitingStream<T> stream, StreamPace pace, long now) {
		this.holders.ended(stream.priority(), stream.organisation());
		this.firstEventLimit.ended();
		if (this.paceLimit.isPresent()) {
			this.paceLimit.get().ended(pace);
		}
		pump(now);
	}

	/**
	 * Removes a waiting stream.
	 * @param stream the stream
	 * @return whether it was waiting
	 */
	public boolean withdraw(WaitingStream<T> stream) {
		return this.queue.remove(stream);
	}

	/**
	 * Updates the limits and applies the bounds on waiting. To be called each
	 * {@link PaceLimit#SWEEP_MILLIS} ms while {@link #active}.
	 * @param now the current monotonic time, in nanoseconds
	 */
	public void sweep(long now) {
		this.nowNanos = now;
		if (this.paceLimit.isPresent()) {
			this.paceLimit.get().sweep(this.firstEventLimit.inFlight(), now);
		}
		pump(now);
		List<WaitingStream<T>> expired = this.queue.expire(now);
		for (WaitingStream<T> stream : expired) {
			// A refusal while less than half of the slots are in use and nothing else
			// waits would leave capacity unused.
			if (this.paceLimit.isPresent() && expired.size() == 1 && this.queue.waiting() == 0 && underHalf()) {
				admit(stream);
			}
			else {
				this.callbacks.refused(stream.item());
			}
		}
	}

	private boolean underHalf() {
		return this.firstEventLimit.inFlight() * this.entries < HALF * this.slots;
	}

	/**
	 * Returns whether {@link #sweep} has anything to do.
	 * @return whether streams wait, or are in flight whose pauses count
	 */
	public boolean active() {
		return this.queue.waiting() > 0 || (this.paceLimit.isPresent() && this.firstEventLimit.inFlight() > 0);
	}

	/**
	 * Returns the time from the start of a stream within which its first event is
	 * expected.
	 * @return the time in milliseconds
	 */
	public double firstEventMillis() {
		double objective = this.settings.objective().toMillis();
		return Math.min(MAX_FIRST_EVENT_SHARE * objective,
				this.firstEvents.safeMillis(UNKNOWN_FIRST_EVENT_SHARE * objective));
	}

	/**
	 * Chooses the delay after which a refused caller is asked to retry.
	 * @param index the class
	 * @param remainingMillis the time that the caller has left, in milliseconds
	 * @param random the random source that spreads the delays
	 * @return the delay in milliseconds
	 */
	public long retryAfterMillis(int index, long remainingMillis, RandomGenerator random) {
		double predicted = TimeUnit.NANOSECONDS.toMillis(this.queue.predictRoomNanos(index, this.nowNanos));
		double longest = Math.max(1, MAX_RETRY_SHARE * remainingMillis);
		double centre = Math.min(Math.max(MIN_RETRY_MILLIS, predicted), longest / (1 + RETRY_JITTER));
		return Math.max(1, (long) (centre * (1 + RETRY_JITTER * (2 * random.nextDouble() - 1))));
	}

	/**
	 * Returns the time after its arrival at which a refused caller returns at the
	 * earliest if it follows its Retry-After, with a margin for changes of the
	 * prediction.
	 * @param index the class
	 * @return the time in milliseconds
	 */
	public long shortestReturnMillis(int index) {
		double predicted = TimeUnit.NANOSECONDS.toMillis(this.queue.predictRoomNanos(index, this.nowNanos));
		return (long) Math.min(MAX_SHORTEST_RETURN_MILLIS, HALF * Math.max(MIN_RETRY_MILLIS, predicted));
	}

	/**
	 * Returns the state for the log.
	 * @param index the class
	 * @return the state
	 */
	public State state(int index) {
		int inFlight = this.firstEventLimit.inFlight();
		double predicted = this.paceLimit.isPresent() ? this.paceLimit.get().predictMillis(inFlight + 1, this.nowNanos)
				: 0;
		return new State(limit(index), inFlight, this.queue.waiting(), predicted);
	}

	/**
	 * Returns the observed interval between events.
	 * @return the interval in milliseconds, 0 if nothing is known
	 */
	public double observedMillis() {
		return this.paceLimit.map((limit) -> limit.observedMillis(this.nowNanos)).orElse(0.0);
	}

	/**
	 * Describes which priorities and organisations have streams in flight.
	 * @return fields for the log
	 */
	public String describeHolders() {
		return "priorities=\"" + this.holders.priorities() + "\" organisations=\"" + this.holders.organisations()
				+ "\"";
	}

	/**
	 * Returns what the configuration says.
	 * @return the settings
	 */
	public AdmissionSettings settings() {
		return this.settings;
	}

	/**
	 * The state of the admission.
	 *
	 * @param limit the limit of a class
	 * @param inFlight the number of streams in flight
	 * @param waiting the number of waiting streams
	 * @param predictedMillis the predicted interval between events with one more stream,
	 * in milliseconds; 0 if nothing is known
	 */
	public record State(int limit, int inFlight, int waiting, double predictedMillis) {
	}

	/**
	 * The decision on a stream that arrives.
	 */
	public enum Decision {

		/** The stream may be started at once. */
		ADMITTED,

		/** The stream is queued. */
		WAITING,

		/** The stream could not be started in time. */
		REFUSED

	}

	/**
	 * Receives decisions.
	 *
	 * @param <T> the type of a stream
	 */
	public interface Callbacks<T> {

		/**
		 * The stream may be started.
		 * @param stream the stream
		 */
		void admitted(T stream);

		/**
		 * The stream is refused and does not wait any more.
		 * @param stream the stream
		 */
		void refused(T stream);

	}

}
