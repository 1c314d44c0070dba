package io.bulrushrouter.gateway.upstream;

import java.util.Arrays;

/**
 * What the upstreams of one service have in common, and the share of requests that
 * explore. Not thread-safe.
 */
final class ServiceCapacity {

	/**
	 * Choices from one that explores an upstream to the next, which bounds the requests
	 * that explore to a tenth.
	 */
	private static final int CHOICES_PER_EXPLORATION = 10;

	/**
	 * Ranks of a service that must have the same slow intervals for one of them to be
	 * judged by its own. The ranks of a lock-step group all have the group's, and the
	 * smallest groups have 24, of which an entry sees only some.
	 */
	private static final int RANKS_THAT_AGREE = 8;

	/** Upstreams for each rank that must agree, in a service with few. */
	private static final int UPSTREAMS_PER_RANK_THAT_AGREES = 4;

	private final LatencyReference answers = new LatencyReference(AttemptSize.CLASSES);

	private final LatencyReference intervals = new LatencyReference(1);

	private int choicesSinceExploration;

	private double intervalBound;

	/**
	 * Returns the latencies of whole answers and of first events.
	 * @return the reference
	 */
	LatencyReference answers() {
		return this.answers;
	}

	/**
	 * Returns the intervals between the events of a stream.
	 * @return the reference
	 */
	LatencyReference intervals() {
		return this.intervals;
	}

	boolean mayExplore() {
		return this.choicesSinceExploration >= CHOICES_PER_EXPLORATION;
	}

	void chosen(boolean explores) {
		this.choicesSinceExploration = explores ? 0 : this.choicesSinceExploration + 1;
	}

	/**
	 * Compares the upstreams of the service.
	 * @param estimates the estimates of the intervals of the service's upstreams
	 */
	void compare(double[] estimates) {
		this.answers.upstreams(estimates.length);
		this.intervals.upstreams(estimates.length);
		int agreeing = Math.max(1, Math.min(RANKS_THAT_AGREE, estimates.length / UPSTREAMS_PER_RANK_THAT_AGREES));
		Arrays.sort(estimates);
		this.intervalBound = (estimates.length > 0) ? Math.max(0, estimates[estimates.length - agreeing]) : 0;
	}

	/**
	 * Returns how much slow intervals count against an upstream at most.
	 * @return the largest estimate that enough upstreams of the service have
	 */
	double intervalBound() {
		return this.intervalBound;
	}

}
