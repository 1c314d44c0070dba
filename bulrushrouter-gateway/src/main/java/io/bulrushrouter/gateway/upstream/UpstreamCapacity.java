package io.bulrushrouter.gateway.upstream;

import java.util.ArrayDeque;
import java.util.concurrent.TimeUnit;

import io.bulrushrouter.gateway.source.UpstreamRecord;

/**
 * What this entry has learned of the speed of one upstream, compared with the others of
 * its service. Not thread-safe.
 */
final class UpstreamCapacity {

	/**
	 * Estimates, as logarithms, below which an upstream is chosen as if it had the
	 * service's mean: a factor of 1.2. Estimates up to twice this count in part.
	 */
	private static final double INSIGNIFICANT = 0.18;

	/**
	 * Time for which a factor is used again if nothing was learned in between. The
	 * estimate reverts by a hundredth in it, and most of the time of a choice among many
	 * slow upstreams would be spent on exponentials.
	 */
	private static final long MAX_CACHED_NANOS = TimeUnit.MILLISECONDS.toNanos(100);

	/**
	 * Time in which the weight of a refusal falls to 1/e. A place at a full upstream is
	 * free again after about the duration of a request.
	 */
	private static final double REFUSAL_MEMORY_NANOS = TimeUnit.SECONDS.toNanos(3);

	/** Recent refusals that may be chance: the last place was taken a moment before. */
	private static final double INSIGNIFICANT_REFUSALS = 1;

	/** Slowness that each further recent refusal adds. */
	private static final double SLOWNESS_PER_REFUSAL = 2;

	/**
	 * Part of the refusals that remains after an answer, which shows that there is room.
	 */
	private static final double REFUSALS_AFTER_ANSWER = 0.5;

	/**
	 * Weight of the estimate of intervals. With the half of it an upstream takes part in
	 * the choices in proportion to its speed. More would let the load swing between the
	 * groups of a service, since their intervals follow their load after some seconds.
	 */
	private static final double INTERVAL_WEIGHT = 0.5;

	/**
	 * Age up to which an estimate of intervals is used instead of that of the data
	 * centre. The speed of a group changes every few seconds.
	 */
	private static final long MAX_INTERVAL_AGE_NANOS = TimeUnit.SECONDS.toNanos(10);

	private final SlownessEstimate answers = new SlownessEstimate();

	private final SlownessEstimate intervals = new SlownessEstimate();

	private final ArrayDeque<AttemptObservation> unanswered = new ArrayDeque<>(2);

	private UpstreamRecord upstream;

	private ServiceCapacity service;

	private double nearInterval;

	private double refusals;

	private long refusedNanos;

	private double cachedSlowness = Double.NaN;

	private long cachedNanos;

	private double loggedSlowness = 1;

	private long loggedNanos;

	/**
	 * Sets what the estimates are compared with.
	 * @param record the upstream
	 * @param common what the upstreams of its service have in common
	 */
	void compareWith(UpstreamRecord record, ServiceCapacity common) {
		this.upstream = record;
		this.service = common;
	}

	/**
	 * Returns whether there is something to compare the estimates with.
	 * @return whether the service is known
	 */
	boolean comparable() {
		return this.service != null;
	}

	/**
	 * Returns the upstream.
	 * @return the upstream, or {@code null} if there is nothing to compare it with
	 */
	UpstreamRecord upstream() {
		return this.upstream;
	}

	/**
	 * Adds an attempt that has no answer yet.
	 * @param attempt the attempt
	 */
	void sent(AttemptObservation attempt) {
		this.unanswered.add(attempt);
	}

	void noLongerUnanswered(AttemptObservation attempt) {
		this.unanswered.remove(attempt);
	}

	/**
	 * Ends the observation of all attempts without an answer.
	 */
	void discardUnanswered() {
		while (!this.unanswered.isEmpty()) {
			this.unanswered.peek().discard();
		}
	}

	void answered(int requestClass, double nanos, long nowNanos) {
		this.refusals *= REFUSALS_AFTER_ANSWER;
		learn(this.answers, this.service.answers(), requestClass, nanos, nowNanos);
	}

	void interval(double nanos, long nowNanos) {
		learn(this.intervals, this.service.intervals(), 0, nanos, nowNanos);
	}

	private void learn(SlownessEstimate estimate, LatencyReference reference, int requestClass, double nanos,
			long nowNanos) {
		this.cachedSlowness = Double.NaN;
		double expectedNanos = reference.expectedNanos(requestClass);
		if (Double.isFinite(expectedNanos)) {
			double deviation = LatencyReference.deviation(nanos, expectedNanos);
			estimate.compare(deviation, reference, nowNanos);
			estimate.add(deviation, reference, nowNanos);
			reference.learnCommon(deviation);
		}
		reference.learn(requestClass, nanos, estimate.value(nowNanos));
	}

	/**
	 * Records that an attempt ended without an answer. It counts if an answer was already
	 * late, with the latency that the answer has at least.
	 * @param openNanos the time since it was sent, in nanoseconds
	 * @param expectedNanos the expected latency, in nanoseconds
	 * @param nowNanos the current monotonic time, in nanoseconds
	 */
	void abandoned(double openNanos, double expectedNanos, long nowNanos) {
		this.cachedSlowness = Double.NaN;
		if (openNanos > expectedNanos) {
			double deviation = LatencyReference.deviation(openNanos, expectedNanos);
			if (deviation > this.answers.value(nowNanos)) {
				this.answers.add(deviation, this.service.answers(), nowNanos);
			}
		}
	}

	/**
	 * Records that the upstream refused an attempt because it was full.
	 * @param nowNanos the current monotonic time, in nanoseconds
	 */
	void refused(long nowNanos) {
		this.cachedSlowness = Double.NaN;
		this.refusals = recentRefusals(nowNanos) + 1;
		this.refusedNanos = nowNanos;
	}

	private double recentRefusals(long nowNanos) {
		return (this.refusals > 0) ? this.refusals * Math.exp(-(nowNanos - this.refusedNanos) / REFUSAL_MEMORY_NANOS)
				: 0;
	}

	private double refusalEstimate(long nowNanos) {
		double recent = recentRefusals(nowNanos) - INSIGNIFICANT_REFUSALS;
		return (recent > 0) ? Math.log1p(SLOWNESS_PER_REFUSAL * recent) : Double.NEGATIVE_INFINITY;
	}

	/**
	 * Returns by how much the upstream is slower than the mean of its service.
	 * @param nowNanos the current monotonic time, in nanoseconds
	 * @return the factor, exactly 1 if there is no significant difference
	 */
	double slowness(long nowNanos) {
		if (this.service == null) {
			return 1;
		}
		AttemptObservation oldest = this.unanswered.peek();
		double deviation = (oldest != null) ? oldest.deviation(nowNanos) : Double.NEGATIVE_INFINITY;
		if (deviation > 0) {
			return slowness(this.answers.valueWithOpen(deviation, this.service.answers(), nowNanos), nowNanos);
		}
		if (Double.isNaN(this.cachedSlowness) || nowNanos - this.cachedNanos > MAX_CACHED_NANOS) {
			this.cachedSlowness = slowness(this.answers.value(nowNanos), nowNanos);
			this.cachedNanos = nowNanos;
		}
		return this.cachedSlowness;
	}

	private double slowness(double answerEstimate, long nowNanos) {
		double estimate = Math.max(Math.max(answerEstimate, refusalEstimate(nowNanos)), intervalEstimate(nowNanos));
		double size = Math.abs(estimate);
		if (size <= INSIGNIFICANT) {
			return 1;
		}
		return Math.exp(estimate * Math.min(1, size / INSIGNIFICANT - 1));
	}

	// Fast intervals do not make up for late first events.
	private double intervalEstimate(long nowNanos) {
		double estimate = this.service
			.slowerThanFast(intervalKnown(nowNanos) ? this.intervals.value(nowNanos) : this.nearInterval);
		return (estimate > 0) ? INTERVAL_WEIGHT * estimate : Double.NEGATIVE_INFINITY;
	}

	/**
	 * Returns whether a stream has shown the intervals of the upstream recently.
	 * @param nowNanos the current monotonic time, in nanoseconds
	 * @return whether the estimate is its own
	 */
	boolean intervalKnown(long nowNanos) {
		return this.intervals.answeredWithin(MAX_INTERVAL_AGE_NANOS, nowNanos);
	}

	/**
	 * Returns the estimate of the upstream's own intervals.
	 * @param nowNanos the current monotonic time, in nanoseconds
	 * @return the logarithm of the factor
	 */
	double ownInterval(long nowNanos) {
		return this.intervals.value(nowNanos);
	}

	/**
	 * Sets the estimate that applies while the upstream's own intervals are unknown.
	 * @param estimate that of the upstreams in its data centre
	 */
	void nearInterval(double estimate) {
		this.nearInterval = estimate;
	}

	/**
	 * Returns whether a request should check the estimate of a slow upstream.
	 * @param nowNanos the current monotonic time, in nanoseconds
	 * @return whether none does now, and the last answer is old or contradicts the
	 * estimate
	 */
	boolean explorationDue(long nowNanos) {
		return this.unanswered.isEmpty() && (this.answers.recovering()
				|| !this.answers.answeredWithin(this.service.answers().explorationNanos(), nowNanos));
	}

	double loggedSlowness() {
		return this.loggedSlowness;
	}

	long loggedNanos() {
		return this.loggedNanos;
	}

	void logged(double slowness, long nowNanos) {
		this.loggedSlowness = slowness;
		this.loggedNanos = nowNanos;
	}

}
