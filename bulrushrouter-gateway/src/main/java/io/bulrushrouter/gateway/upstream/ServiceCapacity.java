package io.bulrushrouter.gateway.upstream;

import java.util.List;
import java.util.Map;
import java.util.stream.Collectors;

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
	 * Ranks that must have the same slow intervals for one of them to be judged by its
	 * own, at least. The ranks of a lock-step group all have the group's, so a difference
	 * that only one or two ranks show is an error.
	 */
	private static final int MIN_RANKS_THAT_AGREE = 3;

	/** The same, at most; the smallest groups have 24 ranks. */
	private static final int MAX_RANKS_THAT_AGREE = 8;

	/** Upstreams with known intervals for each that must agree. */
	private static final int KNOWN_PER_RANK_THAT_AGREES = 4;

	/** Upstreams below which a service has no lock-step groups. */
	private static final int MIN_UPSTREAMS_WITH_GROUPS = 8;

	/** Upstreams as slow as the mean by which those of a data centre are supplemented. */
	private static final double NEAR_PRIOR = 2;

	private final LatencyReference answers = new LatencyReference(AttemptSize.CLASSES);

	private final LatencyReference intervals = new LatencyReference(1);

	private int choicesSinceExploration;

	private double fastInterval;

	private double slowInterval;

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
	 * @param capacities what was learned of each of them
	 * @param nowNanos the current monotonic time, in nanoseconds
	 */
	void compare(List<UpstreamCapacity> capacities, long nowNanos) {
		this.answers.upstreams(capacities.size());
		this.intervals.upstreams(capacities.size());
		double[] known = capacities.stream()
			.filter((capacity) -> capacity.intervalKnown(nowNanos))
			.mapToDouble((capacity) -> capacity.ownInterval(nowNanos))
			.sorted()
			.toArray();
		int minimum = (capacities.size() < MIN_UPSTREAMS_WITH_GROUPS) ? 1 : MIN_RANKS_THAT_AGREE;
		int agreeing = Math.max(minimum, Math.min(MAX_RANKS_THAT_AGREE, known.length / KNOWN_PER_RANK_THAT_AGREES));
		boolean comparable = known.length >= 2 * agreeing;
		this.fastInterval = comparable ? known[agreeing - 1] : 0;
		this.slowInterval = comparable ? known[known.length - agreeing] : 0;
		Map<String, List<UpstreamCapacity>> byDataCentre = capacities.stream()
			.collect(Collectors.groupingBy((capacity) -> capacity.upstream().dataCentre()));
		byDataCentre.values().forEach((near) -> assumeNearInterval(near, nowNanos));
	}

	// A group is in one data centre. An entry has streams at a part of its ranks only;
	// the others are taken to be like these.
	private void assumeNearInterval(List<UpstreamCapacity> near, long nowNanos) {
		double sum = 0;
		double weight = NEAR_PRIOR;
		for (UpstreamCapacity capacity : near) {
			if (capacity.intervalKnown(nowNanos)) {
				sum += Math.min(this.slowInterval, capacity.ownInterval(nowNanos));
				weight++;
			}
		}
		double mean = sum / weight;
		near.forEach((capacity) -> capacity.nearInterval(mean));
	}

	/**
	 * Returns how slow the intervals of an upstream are.
	 * @param estimate its estimate
	 * @return by how much it is slower than the fast upstreams of the service, at most by
	 * as much as enough upstreams are
	 */
	double slowerThanFast(double estimate) {
		return Math.min(estimate, this.slowInterval) - this.fastInterval;
	}

}
