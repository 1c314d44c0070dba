package io.bulrushrouter.gateway.upstream;

import java.util.ArrayDeque;
import java.util.concurrent.TimeUnit;

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

	/** Time without an answer after which a slow upstream is explored. */
	private static final long EXPLORATION_INTERVAL_NANOS = TimeUnit.SECONDS.toNanos(2);

	/**
	 * Time for which a factor is used again if nothing was learned in between. The
	 * estimate reverts by a hundredth in it, and most of the time of a choice among many
	 * slow upstreams would be spent on exponentials.
	 */
	private static final long MAX_CACHED_NANOS = TimeUnit.MILLISECONDS.toNanos(100);

	/** Deviation that a refusal counts as, a factor of 4. */
	private static final double REFUSAL_DEVIATION = Math.log(4);

	/**
	 * Weight of the estimate of intervals. With the half of it an upstream takes part in
	 * the choices in proportion to its speed. More would let the load swing between the
	 * groups of a service, since their intervals follow their load after some seconds.
	 */
	private static final double INTERVAL_WEIGHT = 0.5;

	private final SlownessEstimate answers = new SlownessEstimate();

	private final SlownessEstimate intervals = new SlownessEstimate();

	private final ArrayDeque<AttemptObservation> unanswered = new ArrayDeque<>(2);

	private String serviceName;

	private ServiceCapacity service;

	private double cachedSlowness = Double.NaN;

	private long cachedNanos;

	private double loggedSlowness = 1;

	private long loggedNanos;

	/**
	 * Adds an attempt that has no answer yet.
	 * @param attempt the attempt
	 * @param name the name of the upstream's service
	 * @param common what the upstreams of the service have in common
	 */
	void sent(AttemptObservation attempt, String name, ServiceCapacity common) {
		this.serviceName = name;
		this.service = common;
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
		this.answers.add(REFUSAL_DEVIATION, this.service.answers(), nowNanos);
		this.service.answers().learnCommon(REFUSAL_DEVIATION);
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
		double estimate = Math.max(answerEstimate, intervalEstimate(nowNanos));
		double size = Math.abs(estimate);
		if (size <= INSIGNIFICANT) {
			return 1;
		}
		return Math.exp(estimate * Math.min(1, size / INSIGNIFICANT - 1));
	}

	// Fast intervals do not make up for late first events.
	private double intervalEstimate(long nowNanos) {
		if (this.service.intervalBound() <= INSIGNIFICANT) {
			return Double.NEGATIVE_INFINITY;
		}
		double estimate = INTERVAL_WEIGHT * Math.min(this.intervals.value(nowNanos), this.service.intervalBound());
		return (estimate > 0) ? estimate : Double.NEGATIVE_INFINITY;
	}

	/**
	 * Returns the estimate of the intervals between events.
	 * @param nowNanos the current monotonic time, in nanoseconds
	 * @return the logarithm of the factor
	 */
	double ownIntervalEstimate(long nowNanos) {
		return this.intervals.value(nowNanos);
	}

	/**
	 * Returns whether a request should check the estimate of a slow upstream.
	 * @param nowNanos the current monotonic time, in nanoseconds
	 * @return whether none does now, and the last answer is old or contradicts the
	 * estimate
	 */
	boolean explorationDue(long nowNanos) {
		return this.unanswered.isEmpty()
				&& (this.answers.recovering() || !this.answers.answeredWithin(EXPLORATION_INTERVAL_NANOS, nowNanos));
	}

	/**
	 * Returns the name of the upstream's service.
	 * @return the name, or {@code null} if no attempt was sent
	 */
	String serviceName() {
		return this.serviceName;
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
