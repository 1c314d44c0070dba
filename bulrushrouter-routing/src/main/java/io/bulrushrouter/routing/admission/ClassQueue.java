package io.bulrushrouter.routing.admission;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.TimeUnit;

import io.bulrushrouter.kernel.OrganisationId;
import io.bulrushrouter.routing.Dispatch;
import io.bulrushrouter.routing.FairQueue;
import io.bulrushrouter.routing.FairQueueSettings;
import io.bulrushrouter.routing.OrganisationWeights;

/**
 * The waiting streams of one priority class in three lanes, each fair between
 * organisations: streams that can still meet their objective, those of callers that have
 * returned, and other late ones. Not thread-safe.
 *
 * @param <T> the type of a stream
 */
final class ClassQueue<T> {

	/** Time constant of the rate of admissions from which waiting times are predicted. */
	private static final double RATE_NANOS = TimeUnit.SECONDS.toNanos(2);

	/** Time constant of the share of streams that are served. */
	private static final double SHARE_NANOS = TimeUnit.SECONDS.toNanos(6);

	/** What an organisation that was idle may be served ahead of others. */
	private static final long BURST_COST = 4 * AdmissionQueue.MEAN_COST;

	private final FairQueue<WaitingStream<T>> punctual;

	private final FairQueue<WaitingStream<T>> returning;

	private final FairQueue<WaitingStream<T>> late;

	private final DecayingCount offered;

	private final DecayingCount admitted;

	private final DecayingCount admissionRate;

	private long waitingSinceNanos;

	ClassQueue(long nowNanos) {
		FairQueueSettings settings = FairQueueSettings.ofOrder(BURST_COST, OrganisationWeights.ofEqual());
		this.punctual = FairQueue.of(settings, nowNanos);
		this.returning = FairQueue.of(settings, nowNanos);
		this.late = FairQueue.of(settings, nowNanos);
		this.offered = new DecayingCount(SHARE_NANOS, nowNanos);
		this.admitted = new DecayingCount(SHARE_NANOS, nowNanos);
		this.admissionRate = new DecayingCount(RATE_NANOS, nowNanos);
	}

	/**
	 * Counts a stream that was refused on arrival, so that the class counts as served
	 * less.
	 * @param nowNanos the current monotonic time, in nanoseconds
	 */
	void refused(long nowNanos) {
		this.offered.add(1, nowNanos);
	}

	void offer(WaitingStream<T> stream, long nowNanos) {
		this.offered.add(1, nowNanos);
		add(stream, nowNanos);
	}

	void add(WaitingStream<T> stream, long nowNanos) {
		if (size() == 0) {
			this.waitingSinceNanos = nowNanos;
		}
		stream.punctual = !stream.returning() && nowNanos < stream.punctualUntilNanos();
		long deadline = stream.punctual ? stream.punctualUntilNanos() : stream.startByNanos();
		lane(stream).add(stream, stream.organisation(), stream.cost(), deadline, nowNanos);
	}

	private FairQueue<WaitingStream<T>> lane(WaitingStream<T> stream) {
		if (stream.punctual) {
			return this.punctual;
		}
		return stream.returning() ? this.returning : this.late;
	}

	boolean hasPunctual() {
		return this.punctual.size() > 0;
	}

	/**
	 * Returns whether a stream waits that can still meet its objective. Streams that no
	 * longer can are moved.
	 * @param nowNanos the current monotonic time, in nanoseconds
	 * @return whether one waits
	 */
	boolean moveLateAndCheckPunctual(long nowNanos) {
		for (Dispatch<WaitingStream<T>> dispatch : removeExpired(this.punctual, nowNanos)) {
			add(dispatch.item(), nowNanos);
		}
		return hasPunctual();
	}

	boolean hasLate() {
		return this.returning.size() + this.late.size() > 0;
	}

	int size() {
		return this.punctual.size() + this.returning.size() + this.late.size();
	}

	int sizeAhead(OrganisationId organisation) {
		return this.punctual.sizeAhead(organisation) + this.returning.sizeAhead(organisation)
				+ this.late.sizeAhead(organisation);
	}

	/**
	 * Takes the next stream.
	 * @param lateFirst whether a stream that has missed its objective goes first
	 * @param nowNanos the current monotonic time, in nanoseconds
	 * @return the stream, or empty if none waits
	 */
	Optional<WaitingStream<T>> take(boolean lateFirst, long nowNanos) {
		Optional<WaitingStream<T>> taken = lateFirst ? takeLate(nowNanos) : takeFrom(this.punctual, nowNanos);
		if (taken.isEmpty()) {
			taken = lateFirst ? takeFrom(this.punctual, nowNanos) : takeLate(nowNanos);
		}
		if (taken.isPresent()) {
			this.admitted.add(1, nowNanos);
			this.admissionRate.add(1, nowNanos);
		}
		return taken;
	}

	private Optional<WaitingStream<T>> takeLate(long nowNanos) {
		Optional<WaitingStream<T>> taken = takeFrom(this.returning, nowNanos);
		return taken.isPresent() ? taken : takeFrom(this.late, nowNanos);
	}

	private Optional<WaitingStream<T>> takeFrom(FairQueue<WaitingStream<T>> lane, long nowNanos) {
		if (lane.size() == 0) {
			return Optional.empty();
		}
		Dispatch<WaitingStream<T>> dispatch = lane.next(nowNanos).orElseThrow();
		lane.finished(dispatch, dispatch.costTokens(), nowNanos);
		return Optional.of(dispatch.item());
	}

	boolean remove(WaitingStream<T> stream) {
		return lane(stream).remove(stream);
	}

	Optional<WaitingStream<T>> removeMostOverShare() {
		return this.late.removeMostOverShare()
			.or(this.punctual::removeMostOverShare)
			.or(this.returning::removeMostOverShare);
	}

	/**
	 * Moves streams that can no longer meet their objective, and removes those that can
	 * no longer be started before their callers leave.
	 * @param nowNanos the current monotonic time, in nanoseconds
	 * @return the removed streams
	 */
	List<WaitingStream<T>> expire(long nowNanos) {
		if (size() == 0) {
			return List.of();
		}
		List<WaitingStream<T>> expired = new ArrayList<>();
		moveLateAndCheckPunctual(nowNanos);
		for (Dispatch<WaitingStream<T>> dispatch : removeExpired(this.returning, nowNanos)) {
			expired.add(dispatch.item());
		}
		for (Dispatch<WaitingStream<T>> dispatch : removeExpired(this.late, nowNanos)) {
			expired.add(dispatch.item());
		}
		return expired;
	}

	private List<Dispatch<WaitingStream<T>>> removeExpired(FairQueue<WaitingStream<T>> lane, long nowNanos) {
		return (lane.size() > 0) ? lane.removeExpired(nowNanos) : List.of();
	}

	double offered(long nowNanos) {
		return this.offered.value(nowNanos);
	}

	double admitted(long nowNanos) {
		return this.admitted.value(nowNanos);
	}

	double admissionsPerSecond(long nowNanos) {
		return this.admissionRate.perSecond(nowNanos);
	}

	long waitingNanos(long nowNanos) {
		return (size() > 0) ? nowNanos - this.waitingSinceNanos : 0;
	}

}
