package io.bulrushrouter.routing.admission;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.TimeUnit;

import io.bulrushrouter.kernel.OrganisationId;

/**
 * Orders the waiting streams of one service. Streams that can still meet their objective
 * go first, by class and fairly between organisations. Streams that have missed it, and
 * classes that are served much less than the others, have a guaranteed share. Whether
 * there is room for a class is decided by the caller. Not thread-safe.
 *
 * @param <T> the type of a stream
 */
public final class AdmissionQueue<T> {

	/** The cost of a stream of mean length, in which costs are measured. */
	public static final long MEAN_COST = 100;

	/**
	 * A class of which less than this ratio of the mean share is served goes first. Users
	 * require a quarter; streams that wait count as not served, so the bound is higher.
	 */
	private static final double MIN_SERVED_RATIO = 0.3;

	/**
	 * Time for which a class must have waited without interruption before its rate of
	 * admissions predicts its waiting time. Before, the rate shows the demand only.
	 */
	private static final long MIN_RATE_SAMPLE_NANOS = TimeUnit.MILLISECONDS.toNanos(800);

	/**
	 * Time for which a class must have waited until its share counts if it lacks less
	 * than one stream: shares of few streams say little.
	 */
	private static final long STARVING_NANOS = TimeUnit.SECONDS.toNanos(1);

	/** Smallest assumed rate of admissions of a class, per second. */
	private static final double MIN_RATE = 0.5;

	/**
	 * How long the last free place is held for a stream that can still meet its objective
	 * before a late one takes it. Streams wait for up to two seconds but are punctual for
	 * the first tenths of a second only: without this, under overload the late ones would
	 * take each place at the moment it becomes free, and hardly any stream would be on
	 * time.
	 */
	private static final long HOLD_NANOS = TimeUnit.MILLISECONDS.toNanos(150);

	/** Largest number of admissions by which the guaranteed share may lag behind. */
	private static final double MAX_LATE_CREDIT = 2;

	private final Room room;

	private final double lateShare;

	private List<ClassQueue<T>> queues;

	private PriorityClasses classes;

	private double lateCredit;

	private long heldSinceNanos = Long.MAX_VALUE;

	/**
	 * Creates an empty queue.
	 * @param classes the priority classes
	 * @param lateShare the share of admissions that streams get which have missed their
	 * objective, while any waits; 1 to admit them before others
	 * @param room tells whether there is room for a class
	 * @param nowNanos the current monotonic time, in nanoseconds
	 */
	public AdmissionQueue(PriorityClasses classes, double lateShare, Room room, long nowNanos) {
		this.classes = classes;
		this.lateShare = lateShare;
		this.room = room;
		this.queues = newQueues(classes, nowNanos);
	}

	private static <T> List<ClassQueue<T>> newQueues(PriorityClasses classes, long nowNanos) {
		List<ClassQueue<T>> created = new ArrayList<>();
		for (int index = 0; index < classes.count(); index++) {
			created.add(new ClassQueue<>(nowNanos));
		}
		return created;
	}

	/**
	 * Replaces the priority classes. Waiting streams keep waiting.
	 * @param replacement the classes
	 * @param nowNanos the current monotonic time, in nanoseconds
	 */
	public void classes(PriorityClasses replacement, long nowNanos) {
		if (replacement.equals(this.classes)) {
			return;
		}
		List<ClassQueue<T>> previous = this.queues;
		this.classes = replacement;
		this.queues = newQueues(replacement, nowNanos);
		for (ClassQueue<T> queue : previous) {
			Optional<WaitingStream<T>> stream = queue.take(true, nowNanos);
			while (stream.isPresent()) {
				queueOf(stream.get()).offer(stream.get(), nowNanos);
				stream = queue.take(true, nowNanos);
			}
		}
	}

	/**
	 * Returns the priority classes.
	 * @return the classes
	 */
	public PriorityClasses classes() {
		return this.classes;
	}

	private ClassQueue<T> queueOf(WaitingStream<T> stream) {
		return this.queues.get(this.classes.indexOf(stream.priority()));
	}

	/**
	 * Counts a stream that was refused on arrival, so that its class counts as served
	 * less.
	 * @param stream the stream
	 * @param nowNanos the current monotonic time, in nanoseconds
	 */
	public void refused(WaitingStream<T> stream, long nowNanos) {
		queueOf(stream).refused(nowNanos);
	}

	/**
	 * Queues a stream.
	 * @param stream the stream
	 * @param nowNanos the current monotonic time, in nanoseconds
	 */
	public void offer(WaitingStream<T> stream, long nowNanos) {
		queueOf(stream).offer(stream, nowNanos);
	}

	/**
	 * Takes the next stream for which there is room.
	 * @param nowNanos the current monotonic time, in nanoseconds
	 * @return the stream, or empty
	 */
	public Optional<WaitingStream<T>> next(long nowNanos) {
		if (waiting() == 0 || this.room.places(0) <= 0) {
			this.heldSinceNanos = Long.MAX_VALUE;
			return Optional.empty();
		}
		boolean lateDue = this.lateCredit + this.lateShare >= 1;
		int starved = mostStarved(nowNanos);
		if (starved >= 0) {
			return take(starved, lateDue, nowNanos);
		}
		int late = -1;
		int punctual = -1;
		for (int index = 0; index < this.queues.size() && (late < 0 || punctual < 0); index++) {
			ClassQueue<T> queue = this.queues.get(index);
			if (queue.size() == 0) {
				continue;
			}
			if (index > 0 && this.room.places(index) <= 0) {
				break;
			}
			late = (late < 0 && queue.hasLate()) ? index : late;
			punctual = (punctual < 0 && queue.hasPunctual()) ? index : punctual;
		}
		if (late < 0 && punctual < 0) {
			return Optional.empty();
		}
		if (punctual < 0 && !lateDue && held(late, nowNanos)) {
			return Optional.empty();
		}
		if (late >= 0 && (punctual < 0 || lateDue)) {
			return take(late, true, nowNanos);
		}
		// Streams that have become late since the last expiry are moved and not taken, so
		// that they do not take a place that is held.
		return this.queues.get(punctual).moveLateAndCheckPunctual(nowNanos) ? take(punctual, false, nowNanos)
				: next(nowNanos);
	}

	private boolean held(int index, long nowNanos) {
		if (this.room.places(index) > 1) {
			return false;
		}
		this.heldSinceNanos = Math.min(this.heldSinceNanos, nowNanos);
		return nowNanos - this.heldSinceNanos < HOLD_NANOS;
	}

	private Optional<WaitingStream<T>> take(int index, boolean lateFirst, long nowNanos) {
		this.heldSinceNanos = Long.MAX_VALUE;
		if (anyLate()) {
			this.lateCredit = Math.min(MAX_LATE_CREDIT, this.lateCredit + this.lateShare);
		}
		Optional<WaitingStream<T>> taken = this.queues.get(index).take(lateFirst, nowNanos);
		if (taken.isPresent() && !taken.get().punctual) {
			this.lateCredit = Math.max(0, this.lateCredit - 1);
		}
		return taken;
	}

	private boolean anyLate() {
		for (ClassQueue<T> queue : this.queues) {
			if (queue.hasLate()) {
				return true;
			}
		}
		return false;
	}

	// Returns the waiting class that is served least, if it is served much less than the
	// others, or -1.
	private int mostStarved(long nowNanos) {
		if (this.queues.size() == 1) {
			return -1;
		}
		double offered = 0;
		double admitted = 0;
		for (ClassQueue<T> queue : this.queues) {
			offered += queue.offered(nowNanos);
			admitted += queue.admitted(nowNanos);
		}
		int starved = -1;
		double required = MIN_SERVED_RATIO * admitted / offered;
		double leastServed = required;
		for (int index = 0; index < this.queues.size(); index++) {
			ClassQueue<T> queue = this.queues.get(index);
			if (queue.size() > 0) {
				double served = queue.admitted(nowNanos) / queue.offered(nowNanos);
				double missing = required * queue.offered(nowNanos) - queue.admitted(nowNanos);
				boolean significant = missing >= 1 || queue.waitingNanos(nowNanos) > STARVING_NANOS;
				if (significant && served < leastServed) {
					leastServed = served;
					starved = index;
				}
			}
		}
		return starved;
	}

	/**
	 * Removes a waiting stream.
	 * @param stream the stream
	 * @return whether it was waiting
	 */
	public boolean remove(WaitingStream<T> stream) {
		return queueOf(stream).remove(stream);
	}

	/**
	 * Removes the stream that has to leave when too many wait: one of the least urgent
	 * class, of the organisation that has the most waiting.
	 * @return the stream, or empty if none waits
	 */
	public Optional<WaitingStream<T>> displace() {
		for (int index = this.queues.size() - 1; index >= 0; index--) {
			Optional<WaitingStream<T>> displaced = this.queues.get(index).removeMostOverShare();
			if (displaced.isPresent()) {
				return displaced;
			}
		}
		return Optional.empty();
	}

	/**
	 * Removes the streams that can no longer be started before their callers leave, and
	 * moves those behind the others that can no longer meet their objective.
	 * @param nowNanos the current monotonic time, in nanoseconds
	 * @return the removed streams
	 */
	public List<WaitingStream<T>> expire(long nowNanos) {
		List<WaitingStream<T>> expired = List.of();
		for (ClassQueue<T> queue : this.queues) {
			List<WaitingStream<T>> removed = queue.expire(nowNanos);
			if (!removed.isEmpty()) {
				expired = new ArrayList<>(expired);
				expired.addAll(removed);
			}
		}
		return expired;
	}

	/**
	 * Predicts how long a new stream waits, from the streams ahead of it and the rate of
	 * admissions of its class.
	 * @param index the class
	 * @param organisation the organisation
	 * @param nowNanos the current monotonic time, in nanoseconds
	 * @return the time in nanoseconds, 0 if the class has not waited for long enough to
	 * predict it
	 */
	public long predictWaitNanos(int index, OrganisationId organisation, long nowNanos) {
		ClassQueue<T> queue = this.queues.get(index);
		if (queue.waitingNanos(nowNanos) < MIN_RATE_SAMPLE_NANOS) {
			return 0;
		}
		double rate = Math.max(MIN_RATE, queue.admissionsPerSecond(nowNanos));
		return (long) (queue.sizeAhead(organisation) / rate * TimeUnit.SECONDS.toNanos(1));
	}

	/**
	 * Predicts when there is room for a stream of a class that returns: after the waiting
	 * streams of this and more urgent classes.
	 * @param index the class
	 * @param nowNanos the current monotonic time, in nanoseconds
	 * @return the time in nanoseconds
	 */
	public long predictRoomNanos(int index, long nowNanos) {
		double rate = 0;
		int ahead = 1;
		for (int each = 0; each <= index; each++) {
			rate += this.queues.get(each).admissionsPerSecond(nowNanos);
			ahead += this.queues.get(each).size();
		}
		return (long) (ahead / Math.max(MIN_RATE, rate) * TimeUnit.SECONDS.toNanos(1));
	}

	/**
	 * Returns the number of waiting streams.
	 * @return the number
	 */
	public int waiting() {
		int waiting = 0;
		for (ClassQueue<T> queue : this.queues) {
			waiting += queue.size();
		}
		return waiting;
	}

	/**
	 * Tells how many more streams may be in flight.
	 */
	@FunctionalInterface
	public interface Room {

		/**
		 * Returns the room for a class.
		 * @param index the class; a less urgent one never has more room than a more
		 * urgent one
		 * @return the number of further streams of the class that may be started
		 */
		int places(int index);

	}

}
